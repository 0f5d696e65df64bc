#include "relay/request_completion.h"

#include "relay/record_merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

/// Size of the log field `trail` from which no further incident is added, in bytes.
constexpr std::size_t maxIncidentBytes = 600;

std::string milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string counterName(std::string_view outcome)
{
    std::string name = fmt::format("relay_requests_total_{}", outcome);
    std::replace(name.begin(), name.end(), ' ', '_');
    return name;
}

} // namespace

request_completion::request_completion(const relay_context &context, pending_request &request)
    : m_context(context), m_state(context.state), m_request(request)
{ }

void request_completion::answerWithParts()
{
    if (!m_request.target->isFanOut()) {
        finish(std::move(m_request.parts.front().reply), "answered");
        return;
    }
    merged_answer merged;
    std::vector<std::string_view> bodies;
    for (const relay_part &part : m_request.parts) {
        if (part.step != relay_part::step_kind::Answered)
            continue;
        merged.signatures.push_back(part.reply.signature);
        bodies.emplace_back(part.reply.body);
    }
    merged.missing = m_request.parts.size() - merged.signatures.size();
    merged.body = greatestRecords(bodies, m_request.target->topRecords);
    const std::string_view outcome = merged.missing == 0 ? "answered" : "answered in part";
    finish(std::move(merged), outcome);
}

void request_completion::answerFromHost(leaf_reply reply, std::string_view refusalCode)
{
    // The refusal of the other host covers the servers that it could ask itself.
    if (m_request.wasCopied && !refusalCode.empty() && isNotRunStatus(reply.status))
        refuse(reply.status, refusalCode, "another host refused the request", {});
    else
        finish(std::move(reply),
               refusalCode.empty() ? "answered by another host" : "refused by another host");
}

void request_completion::fail()
{
    if (m_request.failure.has_value() && !m_request.target->isFanOut()
        && !isNotRunStatus(m_request.failure->status)) {
        finish(*std::move(m_request.failure), "failed by server");
        return;
    }
    bool mayHaveRun = m_request.failure.has_value() || m_request.mayHaveRunElsewhere
        || m_request.forward.has_value();
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        mayHaveRun = mayHaveRun || m_request.parts[i].runs > 0;
        if (!m_request.parts[i].attempts.empty())
            recordIncident(i, "not answered");
    }
    if (!mayHaveRun) {
        if (!refuseMisplaced())
            refuseUnavailable("no backend server took the request");
    } else if (m_context.now >= m_request.deadline) {
        refuse(504, "timeout", "not answered in time", std::chrono::milliseconds(0));
    } else {
        refuse(502, "failed", "backend servers failed", std::chrono::milliseconds(0));
    }
}

void request_completion::refuse(int status, std::string_view code, std::string_view detail,
                                std::chrono::milliseconds retryAfter)
{
    if (m_request.wasCopied && isNotRunStatus(status)) {
        refuse(502, "failed", "a server may have run a copy of the request",
               std::chrono::milliseconds(0));
        return;
    }
    refusal answer;
    answer.status = status;
    answer.code = code;
    answer.detail = detail;
    answer.execution = status == 503 ? execution_state::NotRun : execution_state::OutcomeUnknown;
    answer.retryAfter = retryAfter;
    finish(std::move(answer), code);
}

bool request_completion::refuseMisplaced()
{
    switch (m_state.placementOf(m_request).state()) {
    case placement_state::Open:
        return false;
    case placement_state::Evacuated:
        refuse(503, "evacuated", "all zones that may serve the request are evacuated",
               retryDelay());
        break;
    case placement_state::NoRegion:
        // Waiting does not help: the routes or the zones have to change first.
        refuse(503, "no_allowed_region", "no known zone is in an allowed region",
               std::chrono::milliseconds(0));
        break;
    }
    return true;
}

void request_completion::refuseUnavailable(std::string_view detail)
{
    const bool isRestricted = m_state.placementOf(m_request).isRestricted();
    refuse(503, isRestricted ? "no_allowed_server" : "unavailable", detail, retryDelay());
}

std::chrono::milliseconds request_completion::retryDelay() const
{
    const placement where = m_state.placementOf(m_request);
    std::optional<time_point> trial;
    for (const relay_part &part : m_request.parts) {
        const auto next = m_state.leaves.usableAt(part.service, where, m_context.now);
        if (next.has_value() && (!trial.has_value() || *next > *trial))
            trial = next;
    }
    const duration goal = m_request.target->latencyTarget;
    const duration least = trial.has_value() ? *trial - m_context.now : scaled(goal, 0.25);
    // Random, so that callers that are refused at the same time retry at different times while
    // servers recover.
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(goal).count() / 2 + 1;
    const auto hint = std::chrono::duration_cast<std::chrono::milliseconds>(least)
        + std::chrono::milliseconds(m_context.random(static_cast<std::uint32_t>(spread)));
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(scaled(
        m_request.deadline - m_context.now, m_state.settings.requests.maxRetryAfterFraction));
    return std::clamp(hint, std::chrono::milliseconds(10),
                      std::max(longest, std::chrono::milliseconds(10)));
}

void request_completion::finish(relay_answer answer, std::string_view outcome)
{
    m_ended = true;
    reportCrashes();
    abandonAttempts();
    cancelForward();
    logCompletion(outcome, answer);
    const std::chrono::duration<double> took = m_context.now - m_request.arrived;
    m_context.emit(sample_metric{"relay_request_seconds", took.count()});
    m_context.emit(count_metric{counterName(outcome), 1});
    if (m_request.origin.has_value())
        m_context.emit(answer_forwarded{m_request.id, std::move(answer)});
    else
        m_context.emit(answer_request{m_request.id, std::move(answer)});
}

template<typename End>
void request_completion::endAttempts(End end)
{
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        removeFromQueue(m_state, m_request, i);
        for (const attempt_id id : m_request.parts[i].attempts) {
            const auto attempt = m_state.attempts.find(id.value);
            if (attempt != m_state.attempts.end())
                end(id, attempt);
        }
    }
}

void request_completion::abandonAttempts()
{
    const time_point until = m_context.now + m_state.settings.requests.abandonedRequestTimeout;
    endAttempts([this, until](attempt_id id, auto attempt) {
        attempt->second.request.reset();
        m_state.abandoned.emplace(until, id.value);
    });
}

void request_completion::reportCrashes()
{
    if (m_request.hasLostConnection && m_request.answeredParts == 0)
        m_state.quarantine.onUnanswered(m_request.fingerprint);
}

void request_completion::cancelForward()
{
    if (!m_request.forward.has_value())
        return;
    m_state.forwards.erase(m_request.forward->attempt.value);
    m_context.emit(cancel_forward{m_request.forward->attempt});
    m_request.forward.reset();
}

void request_completion::cancel()
{
    m_ended = true;
    reportCrashes();
    cancelForward();
    endAttempts([this](attempt_id id, auto attempt) {
        attempt->second.server->onCancel(id);
        m_state.attempts.erase(attempt);
        m_context.emit(cancel_attempt{id});
    });
    m_context.count("relay_requests_total_caller_gone");
    m_context.emit(write_log{{log_level::Info,
                              "caller disconnected before the answer",
                              {{"request", m_request.request->callerId},
                               {"route", m_request.target->name},
                               {"after_ms", milliseconds(m_context.now - m_request.arrived)}}}});
}

void request_completion::recordIncident(std::size_t index, std::string_view what)
{
    if (m_request.incidents.size() >= maxIncidentBytes)
        return;
    const relay_part &part = m_request.parts[index];
    const std::string_view server = part.triedServers.empty()
        ? std::string_view("-")
        : part.triedServers.back()->entry().id.value;
    recordEvent(fmt::format("{} {} {}", part.service.value, server, what));
}

void request_completion::recordEvent(std::string_view what)
{
    if (m_request.incidents.size() >= maxIncidentBytes)
        return;
    fmt::format_to(std::back_inserter(m_request.incidents), "{}{} at {} ms",
                   m_request.incidents.empty() ? "" : "; ", what,
                   milliseconds(m_context.now - m_request.arrived));
}

void request_completion::logCompletion(std::string_view outcome, const relay_answer &answer) const
{
    int status = 200;
    if (const auto *refused = std::get_if<refusal>(&answer))
        status = refused->status;
    else if (const auto *reply = std::get_if<leaf_reply>(&answer))
        status = reply->status;
    const bool served = status >= 200 && status < 300;
    log_entry line{served ? log_level::Info : log_level::Warning, "request ended", {}};
    line.fields = {{"request", m_request.request->callerId},
                   {"outcome", std::string(outcome)},
                   {"status", std::to_string(status)},
                   {"route", m_request.target->name},
                   {"routes_version", std::to_string(m_request.document->version())},
                   {"parts", fmt::format("{}/{}", m_request.answeredParts, m_request.parts.size())},
                   {"goal_ms", milliseconds(m_request.target->latencyTarget)},
                   {"took_ms", milliseconds(m_context.now - m_request.arrived)},
                   {"time_left_ms", milliseconds(m_request.deadline - m_context.now)}};
    if (m_request.readDelay >= std::chrono::milliseconds(1))
        line.fields.emplace_back("read_delay_ms", milliseconds(m_request.readDelay));
    if (m_request.customer != nullptr)
        line.fields.emplace_back("organisation", m_request.customer->id.value);
    if (m_request.origin.has_value())
        line.fields.emplace_back("forwarded_by", m_request.origin->host.value);
    if (m_request.extraAttempts > 0)
        line.fields.emplace_back("extra_requests", std::to_string(m_request.extraAttempts));
    if (!m_request.incidents.empty())
        line.fields.emplace_back("trail", m_request.incidents);
    m_context.emit(write_log{std::move(line)});
}

} // namespace waxwing::relay
