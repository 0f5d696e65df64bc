#include "relay/request_progress.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace waxwing::relay {
namespace {

std::string_view nameOf(leaf_failure reason)
{
    switch (reason) {
    case leaf_failure::NotSent:
        return "connect failed";
    case leaf_failure::NotAccepted:
        return "connection not accepted";
    case leaf_failure::ConnectionLost:
        return "connection lost";
    case leaf_failure::Malformed:
        break;
    }
    return "malformed reply";
}

bool isFaultOfRequest(int status)
{
    return status >= 400 && status < 500 && !isNotRunStatus(status);
}

} // namespace

request_progress::request_progress(const relay_work &work, running_relay &request)
    : m_work(work), m_state(work.state), m_request(request), m_ending(work, request)
{ }

std::chrono::milliseconds request_progress::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_request.deadline - m_work.now);
}

bool request_progress::mayRepeat() const
{
    return m_request.target->semantics == execution_semantics::Idempotent;
}

bool request_progress::maySendAgain(const relay_part &part) const
{
    return part.runs < (mayRepeat() ? m_request.target->attempts : 1)
        && m_work.now < m_request.deadline;
}

void request_progress::begin()
{
    for (const relay_part &part : m_request.parts)
        m_state.budgetOf(part.service).onRequest(m_work.now);
    std::size_t unserved = 0;
    std::size_t crowded = 0;
    for (const relay_part &part : m_request.parts) {
        if (!m_state.leaves.isServed(part.service, m_work.now))
            ++unserved;
        else if (isCrowded(part.service))
            ++crowded;
    }
    if (!isCovered(m_request.parts.size() - unserved)) {
        m_ending.refuse(503, "unavailable", "no backend server can be reached",
                        m_ending.retryHint());
        return;
    }
    // Otherwise the free shards would work for an answer that the crowded ones keep from being
    // given.
    if (!isCovered(m_request.parts.size() - unserved - crowded)) {
        m_ending.refuse(503, "overloaded", "too many requests wait for backend servers",
                        m_ending.retryHint());
        return;
    }
    for (std::size_t i = 0; i < m_request.parts.size(); ++i)
        sendFirst(i);
    if (m_request.mayHaveRun)
        extendWait();
    settle();
}

void request_progress::extendWait()
{
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        if (m_request.parts[i].step != step_kind::Waiting)
            continue;
        waiting.push_back(i);
        leaveQueue(m_state, m_request, i);
    }
    m_request.waitUntil = m_request.arrived
        + scaled(m_request.target->latencyTarget,
                 m_state.settings.requests.maxExtendedWaitFraction);
    for (const std::size_t index : waiting)
        wait(index);
}

void request_progress::sendFirst(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    const leaf_choice choice =
        m_state.leaves.choose(part.service, part.tried, m_request.pace->work.typical(), m_work.now);
    if (choice.result == leaf_choice::result_kind::Found)
        send(index, choice);
    else if (choice.result == leaf_choice::result_kind::Full)
        wait(index);
    else
        lose(index, "no server");
}

void request_progress::send(std::size_t index, const leaf_choice &choice)
{
    relay_part &part = m_request.parts[index];
    leaveQueue(m_state, m_request, index);
    const attempt_id id{++m_work.lastAttempt};
    choice.server->onSent(id, choice.expected, m_work.now);
    part.step = step_kind::InProgress;
    part.attempts.push_back(id);
    part.tried.push_back(choice.server);
    ++part.runs;
    m_request.mayHaveRun = true;
    part.expectedAt = m_work.now + choice.expected;
    part.hedgeAt.reset();
    if (mayRepeat() && maySendAgain(part))
        part.hedgeAt = m_work.now + hedgeDelay(choice);
    m_state.attempts.emplace(id.value,
                             relay_attempt{m_request.id, index, choice.server, m_work.now,
                                           m_request.pace, m_request.fingerprint});
    const registered_server &entry = choice.server->entry();
    m_work.emit(send_to_leaf{id, entry.id, entry.address, m_request.request, timeLeft()});
}

duration request_progress::hedgeDelay(const leaf_choice &choice) const
{
    const processing_time_estimate &work = m_request.pace->work;
    const duration way = choice.expected - std::min(choice.expected, work.typical());
    const duration longest =
        scaled(m_request.target->latencyTarget, m_state.settings.requests.maxHedgeDelayFraction);
    return std::min(way + work.upperQuantile(), std::max(longest, work.typical()));
}

void request_progress::wait(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    part.step = step_kind::Waiting;
    part.hedgeAt.reset();
    m_state.waiting.add(part.service, queueEntry(m_request, index));
}

bool request_progress::sendWaiting(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    const leaf_choice choice =
        m_state.leaves.choose(part.service, part.tried, m_request.pace->work.typical(), m_work.now);
    if (choice.result == leaf_choice::result_kind::Full)
        return false;
    if (choice.result == leaf_choice::result_kind::Found)
        send(index, choice);
    else
        lose(index, "no server");
    settle();
    return true;
}

void request_progress::lose(std::size_t index, std::string_view cause)
{
    relay_part &part = m_request.parts[index];
    leaveQueue(m_state, m_request, index);
    part.step = step_kind::Lost;
    part.hedgeAt.reset();
    ++m_request.lost;
    m_ending.note(index, cause);
}

bool request_progress::sendExtra(std::size_t index, bool isRetry)
{
    relay_part &part = m_request.parts[index];
    const leaf_choice choice =
        m_state.leaves.choose(part.service, part.tried, m_request.pace->work.typical(), m_work.now);
    if (choice.result != leaf_choice::result_kind::Found)
        return false;
    // A hedge on a server that is itself in trouble would not come sooner, and while requests wait
    // for a server it would take the place of one that has not been sent at all.
    if (!isRetry && (!choice.healthy || !m_state.waiting.isEmpty(part.service)))
        return false;
    extra_request_budget &budget = m_state.budgetOf(part.service);
    const bool allowed =
        isRetry ? budget.spendOnRetry(m_work.now) : budget.spendOnHedge(m_work.now);
    if (!allowed) {
        m_work.count(isRetry ? "relay_retries_over_budget_total"
                             : "relay_hedges_over_budget_total");
        return false;
    }
    ++m_request.extras;
    m_work.count(isRetry ? "relay_retries_total" : "relay_hedges_total");
    send(index, choice);
    return true;
}

void request_progress::retry(std::size_t index, bool costsBudget, std::string_view cause)
{
    relay_part &part = m_request.parts[index];
    m_ending.note(index, cause);
    if (!maySendAgain(part)) {
        if (part.attempts.empty())
            lose(index, "no attempt left");
        return;
    }
    // With another attempt in progress this is a hedge that failed; the other one goes on.
    if (!part.attempts.empty())
        return;
    if (!costsBudget)
        sendFirst(index);
    else if (!sendExtra(index, true))
        lose(index, "no retry possible");
}

void request_progress::onReply(const relay_attempt &attempt, leaf_reply reply)
{
    const std::size_t index = attempt.part;
    relay_part &part = m_request.parts[index];
    if (part.step == step_kind::Answered || part.step == step_kind::Lost)
        return;
    if (reply.notRun) {
        --part.runs;
        retry(index, true, reply.otherServer ? "other server" : "refused");
    } else if (reply.isSuccess() && !reply.signature.empty()) {
        takePart(index, std::move(reply));
    } else {
        takeFailure(index, std::move(reply));
    }
    settle();
}

void request_progress::takePart(std::size_t index, leaf_reply reply)
{
    relay_part &part = m_request.parts[index];
    part.step = step_kind::Answered;
    part.hedgeAt.reset();
    part.reply = std::move(reply);
    ++m_request.answered;
    if (m_request.answered == (m_request.parts.size() + 1) / 2)
        hedgeStragglers();
}

void request_progress::hedgeStragglers()
{
    // The half of the parts that is answered shows how fast this host and its servers are now; the
    // estimates over all requests follow more slowly and include what the host itself takes.
    const duration lag = std::max<duration>(m_request.pace->work.typical(),
                                            m_state.settings.requests.minStragglerLag);
    for (relay_part &part : m_request.parts) {
        if (part.step == step_kind::InProgress && part.hedgeAt.has_value())
            part.hedgeAt = std::min(*part.hedgeAt, std::max(m_work.now, part.expectedAt) + lag);
    }
}

void request_progress::takeFailure(std::size_t index, leaf_reply reply)
{
    const bool final = isFaultOfRequest(reply.status);
    const std::string cause = fmt::format("status {}", reply.status);
    m_request.failure = std::move(reply);
    if (!mayRepeat() || (final && !m_request.target->isFanOut())) {
        lose(index, cause);
        return;
    }
    retry(index, true, cause);
}

void request_progress::onFailure(const relay_attempt &attempt, leaf_failure reason)
{
    const std::size_t index = attempt.part;
    relay_part &part = m_request.parts[index];
    if (part.step == step_kind::Answered || part.step == step_kind::Lost)
        return;
    if (reason == leaf_failure::NotSent) {
        --part.runs;
        retry(index, false, nameOf(reason));
    } else if (!mayRepeat()) {
        lose(index, nameOf(reason));
    } else if (reason == leaf_failure::ConnectionLost && m_request.target->isFanOut()
               && m_request.answered == 0 && part.attempts.empty() && maySendAgain(part)) {
        ++m_request.losses;
        m_ending.note(index, "connection lost");
        part.hedgeAt = m_work.now + m_state.settings.requests.lossRetryDelay;
    } else {
        retry(index, true, nameOf(reason));
    }
    settle();
}

void request_progress::onDue()
{
    m_request.timer.reset();
    if (m_work.now >= m_request.deadline) {
        m_ending.fail();
        return;
    }
    const bool waitIsOver = m_work.now >= m_request.waitUntil;
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        relay_part &part = m_request.parts[i];
        if (part.step == step_kind::Waiting && waitIsOver)
            lose(i, "no server free in time");
        else if (part.hedgeAt.has_value() && m_work.now >= *part.hedgeAt)
            hedgeDue(i);
    }
    settle();
}

bool request_progress::looksHarmful() const
{
    return m_request.target->isFanOut() && m_request.answered == 0
        && m_request.losses >= m_state.settings.requests.lossesToGiveUp;
}

bool request_progress::hasAttempts() const
{
    return std::any_of(m_request.parts.begin(), m_request.parts.end(),
                       [](const relay_part &part) { return !part.attempts.empty(); });
}

void request_progress::hedgeDue(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    part.hedgeAt.reset();
    const bool isRetry = part.attempts.empty();
    if (isRetry && looksHarmful()) {
        // Servers that lose answers lose some of many. An answer of any other part clears the
        // request; without one, a retry might crash the other servers of the shard.
        part.hedgeAt = m_work.now + m_state.settings.requests.lossRetryDelay;
        return;
    }
    if (sendExtra(index, isRetry)) {
        m_ending.note(index, isRetry ? "retried" : "hedged");
        return;
    }
    if (isRetry)
        lose(index, "no retry possible");
    else if (maySendAgain(part))
        part.hedgeAt = m_work.now + m_state.settings.requests.hedgeRecheckInterval;
}

bool request_progress::isCrowded(const service_id &service) const
{
    // Requests of a lower rank would be passed. As many as are in progress are served in about the
    // time that a request waits at most.
    return m_state.waiting.countAhead(service, m_request.target->rank)
        > m_state.leaves.inFlight(service);
}

bool request_progress::isCovered(std::size_t shards) const
{
    const std::size_t all = m_request.parts.size();
    if (shards == 0)
        return false;
    // The tolerance keeps a share such as 0.9 of 10 from failing by rounding.
    constexpr double tolerance = 1e-9;
    const double least = m_request.target->isFanOut() ? m_request.target->minCoverage : 1;
    return static_cast<double>(shards) + tolerance >= least * static_cast<double>(all);
}

void request_progress::settle()
{
    if (m_ending.isEnded())
        return;
    const std::size_t all = m_request.parts.size();
    if (!isCovered(all - m_request.lost)) {
        m_ending.fail();
        return;
    }
    const bool decided = m_request.answered + m_request.lost == all;
    const bool goalPassed = m_work.now >= m_request.goalAt;
    if (decided || (goalPassed && m_request.target->isFanOut() && isCovered(m_request.answered))) {
        m_ending.answerMerged();
        return;
    }
    if (looksHarmful() && !hasAttempts()) {
        m_ending.fail();
        return;
    }
    schedule();
}

std::optional<time_point> request_progress::nextDue() const
{
    time_point next = m_request.deadline;
    if (m_request.target->isFanOut() && m_work.now < m_request.goalAt)
        next = std::min(next, m_request.goalAt);
    for (const relay_part &part : m_request.parts) {
        if (part.step == step_kind::Waiting)
            next = std::min(next, m_request.waitUntil);
        if (part.hedgeAt.has_value())
            next = std::min(next, *part.hedgeAt);
    }
    return next;
}

void request_progress::schedule()
{
    const auto next = nextDue();
    // A later time is found when the earlier one comes.
    if (!next.has_value() || (m_request.timer.has_value() && *m_request.timer <= *next))
        return;
    m_request.timer = next;
    m_state.timers.emplace(*next, m_request.id.value);
}

} // namespace waxwing::relay
