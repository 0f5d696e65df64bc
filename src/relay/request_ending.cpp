#include "relay/request_ending.h"

#include "relay/record_merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

/// Longest trail in a log line, in bytes.
constexpr std::size_t longestTrail = 600;

std::string milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string counterOf(std::string_view outcome)
{
    std::string name = fmt::format("relay_requests_total_{}", outcome);
    std::replace(name.begin(), name.end(), ' ', '_');
    return name;
}

} // namespace

request_ending::request_ending(const relay_work &work, running_relay &request)
    : m_work(work), m_state(work.state), m_request(request)
{ }

void request_ending::answerMerged()
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

void request_ending::fail()
{
    if (m_request.failure.has_value() && !m_request.target->isFanOut()
        && !isNotRunStatus(m_request.failure->status)) {
        finish(*std::move(m_request.failure), "failed by server");
        return;
    }
    bool mayHaveRun = m_request.failure.has_value();
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        mayHaveRun = mayHaveRun || m_request.parts[i].runs > 0;
        if (!m_request.parts[i].attempts.empty())
            note(i, "not answered");
    }
    if (!mayHaveRun) {
        refuse(503, "unavailable", "no backend server took the request", retryHint());
    } else if (m_work.now >= m_request.deadline) {
        refuse(504, "timeout", "not answered in time", std::chrono::milliseconds(0));
    } else {
        refuse(502, "failed", "backend servers failed", std::chrono::milliseconds(0));
    }
}

void request_ending::refuse(int status, std::string_view code, std::string_view detail,
                            std::chrono::milliseconds retryAfter)
{
    refusal answer;
    answer.status = status;
    answer.code = code;
    answer.detail = detail;
    answer.execution = status == 503 ? execution_state::NotRun : execution_state::OutcomeUnknown;
    answer.retryAfter = retryAfter;
    finish(std::move(answer), code);
}

std::chrono::milliseconds request_ending::retryHint() const
{
    std::optional<time_point> trial;
    for (const relay_part &part : m_request.parts) {
        const auto next = m_state.leaves.nextTrial(part.service, m_work.now);
        if (next.has_value() && (!trial.has_value() || *next > *trial))
            trial = next;
    }
    const duration goal = m_request.target->latencyTarget;
    const duration least = trial.has_value() ? *trial - m_work.now : scaled(goal, 0.25);
    // A random part spreads the callers of one moment over the time in which servers return.
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(goal).count() / 2 + 1;
    const auto hint = std::chrono::duration_cast<std::chrono::milliseconds>(least)
        + std::chrono::milliseconds(m_work.random(static_cast<std::uint32_t>(spread)));
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(
        scaled(m_request.deadline - m_work.now, m_state.settings.requests.maxRetryAfterFraction));
    return std::clamp(hint, std::chrono::milliseconds(10),
                      std::max(longest, std::chrono::milliseconds(10)));
}

void request_ending::finish(relay_answer answer, std::string_view outcome)
{
    m_ended = true;
    abandonAttempts();
    logEnd(outcome, answer);
    const std::chrono::duration<double> took = m_work.now - m_request.arrived;
    m_work.emit(sample_metric{"relay_request_seconds", took.count()});
    m_work.emit(count_metric{counterOf(outcome), 1});
    m_work.emit(answer_request{m_request.id, std::move(answer)});
}

template<typename End>
void request_ending::endAttempts(End end)
{
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        leaveQueue(m_state, m_request, i);
        for (const attempt_id id : m_request.parts[i].attempts) {
            const auto attempt = m_state.attempts.find(id.value);
            if (attempt != m_state.attempts.end())
                end(id, attempt);
        }
    }
}

void request_ending::abandonAttempts()
{
    const time_point until = m_work.now + m_state.settings.requests.abandonedRequestTimeout;
    endAttempts([this, until](attempt_id id, auto attempt) {
        attempt->second.request.reset();
        m_state.abandoned.emplace(until, id.value);
    });
}

void request_ending::cancel()
{
    m_ended = true;
    endAttempts([this](attempt_id id, auto attempt) {
        attempt->second.server->onCancel(id);
        m_state.attempts.erase(attempt);
        m_work.emit(cancel_attempt{id});
    });
    m_work.count("relay_requests_total_caller_gone");
    m_work.emit(write_log{{log_level::Info,
                           "caller left before its answer",
                           {{"request", m_request.request->callerId},
                            {"route", m_request.target->name},
                            {"after_ms", milliseconds(m_work.now - m_request.arrived)}}}});
}

void request_ending::note(std::size_t index, std::string_view what)
{
    if (m_request.trail.size() >= longestTrail)
        return;
    const relay_part &part = m_request.parts[index];
    const std::string_view server =
        part.tried.empty() ? std::string_view("-") : part.tried.back()->entry().id.value;
    fmt::format_to(std::back_inserter(m_request.trail), "{}{} {} {} at {} ms",
                   m_request.trail.empty() ? "" : "; ", part.service.value, server, what,
                   milliseconds(m_work.now - m_request.arrived));
}

void request_ending::logEnd(std::string_view outcome, const relay_answer &answer) const
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
                   {"parts", fmt::format("{}/{}", m_request.answered, m_request.parts.size())},
                   {"took_ms", milliseconds(m_work.now - m_request.arrived)},
                   {"time_left_ms", milliseconds(m_request.deadline - m_work.now)}};
    if (m_request.extras > 0)
        line.fields.emplace_back("extra_requests", std::to_string(m_request.extras));
    if (!m_request.trail.empty())
        line.fields.emplace_back("trail", m_request.trail);
    m_work.emit(write_log{std::move(line)});
}

} // namespace waxwing::relay
