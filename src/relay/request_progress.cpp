#include "relay/request_progress.h"

#include "relay/record_merge.h"
#include "relay/request_coverage.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace waxwing::relay {
namespace {

std::string_view failureText(leaf_failure reason)
{
    switch (reason) {
    case leaf_failure::NotSent:
        return "connect failed";
    case leaf_failure::DeadlinePassed:
        return "deadline passed before it was sent";
    case leaf_failure::NotAccepted:
        return "connection not accepted";
    case leaf_failure::ConnectionLost:
        return "connection lost";
    case leaf_failure::Malformed:
        break;
    }
    return "malformed reply";
}

bool isClientError(int status)
{
    return status >= 400 && status < 500 && !isNotRunStatus(status);
}

} // namespace

request_progress::request_progress(const relay_context &context, pending_request &request)
    : m_context(context), m_state(context.state), m_request(request),
      m_completion(context, request), m_forwarding(context, request, m_completion)
{ }

bool request_progress::isIdempotent() const
{
    return m_request.target->semantics == execution_semantics::Idempotent;
}

bool request_progress::hasAttemptsLeft(const relay_part &part) const
{
    return part.runs < (isIdempotent() ? m_request.maxAttempts : 1)
        && m_context.now < m_request.deadline;
}

leaf_choice request_progress::choose(const relay_part &part) const
{
    return m_state.leaves.choose(part.service, m_state.placementOf(m_request), part.triedServers,
                                 m_request.statistics->work.typical(), m_context.random,
                                 m_context.now);
}

bool request_progress::isWithoutServers() const
{
    if (!m_state.settings.policy.forwarding)
        return false;
    if (m_state.contact.isLost())
        return true;
    const placement where = m_state.placementOf(m_request);
    const auto cutOff =
        std::count_if(m_request.parts.begin(), m_request.parts.end(), [&](const relay_part &part) {
            return m_state.leaves.isCutOff(part.service, where);
        });
    return cutOff > 0
        && !isCoverageSufficient(m_request.parts.size() - static_cast<std::size_t>(cutOff));
}

bool request_progress::tryForward()
{
    const bool wasForwarded = !m_request.triedHosts.empty();
    if (!wasForwarded && !isWithoutServers())
        return false;
    if (m_forwarding.isPossible() && m_forwarding.start())
        return true;
    if (!m_forwarding.isInProgress())
        m_forwarding.onExhausted();
    return false;
}

bool request_progress::beginForwarded()
{
    if (!m_forwarding.isPossible())
        return false;
    m_forwarding.sendTrials();
    if (!tryForward())
        return false;
    endOrReschedule();
    return true;
}

void request_progress::onForwardAnswer(leaf_reply reply, std::string_view refusalCode)
{
    if (m_forwarding.onAnswer(reply, refusalCode) == request_forwarding::next_step::Answer) {
        m_completion.answerFromHost(std::move(reply), refusalCode);
        return;
    }
    tryNextHost();
}

void request_progress::onForwardFailure(leaf_failure reason)
{
    m_forwarding.onFailure(reason);
    tryNextHost();
}

void request_progress::resumeDelegated()
{
    if (m_request.mayHaveRunElsewhere) {
        m_completion.fail();
        return;
    }
    if (m_forwarding.delegate()) {
        endOrReschedule();
        return;
    }
    m_request.isOwn = true;
    for (relay_part &part : m_request.parts)
        part.step = step_kind::InProgress;
    m_request.failedParts = 0;
    beginOwn();
}

void request_progress::tryNextHost()
{
    if (m_forwarding.isDelegated()) {
        resumeDelegated();
        return;
    }
    if (!tryForward() && m_forwarding.mayRunHere()) {
        for (relay_part &part : m_request.parts)
            part.step = step_kind::InProgress;
        m_request.failedParts = 0;
        beginHere();
    }
    endOrReschedule();
}

void request_progress::begin()
{
    if (m_completion.refuseMisplaced())
        return;
    if (m_forwarding.delegate())
        endOrReschedule();
    else
        beginOwn();
}

void request_progress::beginOwn()
{
    m_request.isOwn = true;
    if (isWithoutServers()) {
        if (beginForwarded())
            return;
        if (m_request.origin.has_value()) {
            m_completion.refuseUnavailable("no backend server can be reached");
            return;
        }
    }
    beginHere();
}

void request_progress::beginHere()
{
    for (const relay_part &part : m_request.parts)
        m_state.budgetOf(part.service).onRequest(m_context.now);
    const placement where = m_state.placementOf(m_request);
    std::size_t unreachable = 0;
    std::size_t overloaded = 0;
    for (const relay_part &part : m_request.parts) {
        if (!m_state.leaves.isServed(part.service, where, m_context.now))
            ++unreachable;
        else if (isOverloaded(part.service))
            ++overloaded;
    }
    if (!isCoverageSufficient(m_request.parts.size() - unreachable)) {
        m_completion.refuseUnavailable("no backend server can be reached");
        return;
    }
    // If the request were started, the other shards would do work for an answer that the overloaded
    // shards prevent.
    if (!isCoverageSufficient(m_request.parts.size() - unreachable - overloaded)) {
        m_completion.refuse(503, "overloaded", "too many requests wait for backend servers",
                            m_completion.retryDelay());
        return;
    }
    for (std::size_t i = 0; i < m_request.parts.size(); ++i)
        sendOrEnqueue(i);
    if (m_request.mayHaveRun && m_state.settings.policy.extendedWaits)
        extendQueueTime();
    endOrReschedule();
}

void request_progress::extendQueueTime()
{
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        if (m_request.parts[i].step != step_kind::Waiting)
            continue;
        waiting.push_back(i);
        removeFromQueue(m_state, m_request, i);
    }
    m_request.queueDeadline = m_request.arrived
        + scaled(m_request.target->latencyTarget,
                 m_state.settings.requests.maxExtendedWaitFraction);
    for (const std::size_t index : waiting)
        enqueue(index);
}

void request_progress::sendOrEnqueue(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    const leaf_choice choice = choose(part);
    if (choice.result == leaf_choice::result_kind::Found)
        send(index, choice);
    else if (choice.result == leaf_choice::result_kind::Full)
        enqueue(index);
    else
        failPart(index, "no server");
}

void request_progress::send(std::size_t index, const leaf_choice &choice)
{
    relay_part &part = m_request.parts[index];
    serveFromQueue(m_state, m_request, index);
    if (part.step == step_kind::Deferred)
        --m_request.deferredParts;
    m_state.hedgeRate.onSent(m_context.now);
    const attempt_id id{++m_context.lastAttempt};
    choice.server->onSent(id, choice.expected, m_context.now);
    part.step = step_kind::InProgress;
    part.attempts.push_back(id);
    part.triedServers.push_back(choice.server);
    ++part.runs;
    m_request.mayHaveRun = true;
    part.replyExpectedAt = m_context.now + choice.expected;
    part.hedgeAt.reset();
    if (isIdempotent() && hasAttemptsLeft(part))
        part.hedgeAt = m_context.now + hedgeDelay(choice);
    m_state.attempts.emplace(id.value,
                             relay_attempt{m_request.id, index, choice.server, m_context.now,
                                           m_request.statistics, m_request.fingerprint});
    const registered_server &entry = choice.server->entry();
    m_context.emit(send_to_leaf{id, entry.id, entry.address, m_request.request, m_request.deadline,
                                m_request.caller(),
                                !m_request.target->isFanOut() && !m_request.origin.has_value()});
}

duration request_progress::hedgeDelay(const leaf_choice &choice) const
{
    const processing_time_estimate &work = m_request.statistics->work;
    const duration networkTime = choice.expected - std::min(choice.expected, work.typical());
    const duration longest =
        scaled(m_request.target->latencyTarget, m_state.settings.requests.maxHedgeDelayFraction);
    return std::min(networkTime + work.upperQuantile(), std::max(longest, work.typical()));
}

void request_progress::enqueue(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    part.step = step_kind::Waiting;
    part.hedgeAt.reset();
    m_state.waiting.add(part.service, queueEntry(m_request, index));
    m_state.scheduleTurn(part.service, m_context.now);
}

bool request_progress::trySendWaiting(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    const leaf_choice choice = choose(part);
    if (choice.result == leaf_choice::result_kind::Full)
        return false;
    if (choice.result == leaf_choice::result_kind::Found)
        send(index, choice);
    else
        failPart(index, "no server");
    endOrReschedule();
    return true;
}

void request_progress::onReply(const relay_attempt &attempt, leaf_reply reply)
{
    const std::size_t index = attempt.part;
    relay_part &part = m_request.parts[index];
    if (part.step == step_kind::Answered || part.step == step_kind::Failed)
        return;
    if (reply.notRun) {
        --part.runs;
        retry(index, true, reply.otherServer ? "other server" : "refused");
    } else if (reply.isSuccess() && !reply.signature.empty()) {
        acceptReply(index, std::move(reply));
    } else {
        handleErrorReply(index, std::move(reply));
    }
    endOrReschedule();
}

void request_progress::acceptReply(std::size_t index, leaf_reply reply)
{
    relay_part &part = m_request.parts[index];
    part.step = step_kind::Answered;
    part.hedgeAt.reset();
    part.reply = std::move(reply);
    // The merged answer needs no more of a part than this, and the other parts may take seconds.
    if (m_request.target->isFanOut()) {
        part.reply.fields = http::header_list();
        part.reply.body = greatestRecords({part.reply.body}, m_request.target->topRecords);
    }
    ++m_request.answeredParts;
}

void request_progress::handleErrorReply(std::size_t index, leaf_reply reply)
{
    const bool final = isClientError(reply.status);
    const std::string cause = reply.isSuccess() ? std::string("success without signature")
                                                : fmt::format("status {}", reply.status);
    // Nothing vouches for a success without a signature, so it is not passed on as a failure of the
    // server either.
    if (!reply.isSuccess())
        m_request.failure = std::move(reply);
    if (!isIdempotent() || (final && !m_request.target->isFanOut())) {
        failPart(index, cause);
        return;
    }
    retry(index, true, cause);
}

void request_progress::onFailure(const relay_attempt &attempt, leaf_failure reason)
{
    const std::size_t index = attempt.part;
    relay_part &part = m_request.parts[index];
    if (reason == leaf_failure::ConnectionLost)
        m_request.hasLostConnection = true;
    if (part.step == step_kind::Answered || part.step == step_kind::Failed)
        return;
    if (reason == leaf_failure::NotSent || reason == leaf_failure::DeadlinePassed) {
        --part.runs;
        retry(index, false, failureText(reason));
    } else if (!isIdempotent()) {
        failPart(index, failureText(reason));
    } else if (reason == leaf_failure::ConnectionLost && m_request.target->isFanOut()
               && m_request.answeredParts == 0 && part.attempts.empty() && hasAttemptsLeft(part)) {
        ++m_request.lostConnections;
        m_completion.recordIncident(index, "connection lost");
        part.hedgeAt = m_context.now + m_state.settings.requests.lossRetryDelay;
    } else {
        retry(index, true, failureText(reason));
    }
    endOrReschedule();
}

void request_progress::onTimer()
{
    m_request.timerAt.reset();
    if (m_context.now >= m_request.deadline) {
        m_completion.fail();
        return;
    }
    if (m_forwarding.onTimer()) {
        resumeDelegated();
        return;
    }
    if (m_context.now >= m_request.contactCheckAt) {
        m_request.contactCheckAt = m_context.now + m_state.settings.requests.contactCheckInterval;
        if (m_state.contact.isLost() && !m_forwarding.isInProgress()
            && !isCoverageSufficient(m_request.answeredParts))
            tryForward();
    }
    const bool queueTimeIsOver = m_context.now >= m_request.queueDeadline;
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        relay_part &part = m_request.parts[i];
        if (part.step == step_kind::Waiting && queueTimeIsOver)
            failPart(i, "no server free in time");
        else if (part.hedgeAt.has_value() && m_context.now >= *part.hedgeAt)
            onHedgeTimer(i);
    }
    endOrReschedule();
}

void request_progress::limitDeadline(time_point latest)
{
    if (m_request.deadline <= latest)
        return;
    m_request.deadline = latest;
    scheduleTimer();
}

bool request_progress::isSuspectedOfCrashes() const
{
    return m_request.target->isFanOut() && m_request.answeredParts == 0
        && m_request.lostConnections >= m_state.settings.requests.lossesToGiveUp;
}

bool request_progress::hasAttempts() const
{
    return std::any_of(m_request.parts.begin(), m_request.parts.end(),
                       [](const relay_part &part) { return !part.attempts.empty(); });
}

bool request_progress::isOverloaded(const service_id &service) const
{
    // Only parts that are served before this request count.
    const duration work =
        m_state.settings.policy.timedRoom ? m_request.statistics->work.typical() : duration::zero();
    return m_state.countAhead(m_request, service)
        >= m_state.leaves.roomUntil(service, m_state.placementOf(m_request), work, m_context.now,
                                    m_request.queueDeadline);
}

bool request_progress::isCoverageSufficient(std::size_t shards) const
{
    return request_coverage(m_request).isSufficient(shards);
}

void request_progress::endOrReschedule()
{
    if (m_completion.isEnded())
        return;
    finishDeferredParts();
    const std::size_t all = m_request.parts.size();
    if (!isCoverageSufficient(all - m_request.failedParts)) {
        if (m_forwarding.isInProgress() || tryForward())
            scheduleTimer();
        else
            m_completion.fail();
        return;
    }
    const bool decided = m_request.answeredParts + m_request.failedParts == all;
    const bool goalPassed = m_context.now >= m_request.partialAnswerAt;
    if (decided
        || (goalPassed && m_request.target->isFanOut()
            && isCoverageSufficient(m_request.answeredParts))) {
        m_completion.answerWithParts();
        return;
    }
    if (isSuspectedOfCrashes() && !hasAttempts()) {
        m_completion.fail();
        return;
    }
    scheduleTimer();
}

std::optional<time_point> request_progress::nextTimer() const
{
    time_point next = m_request.deadline;
    next = std::min(next, m_forwarding.nextTimer().value_or(next));
    if (!m_request.origin.has_value() && !m_forwarding.isInProgress()
        && m_request.triedHosts.size() < m_state.settings.requests.maxForwards
        && !isCoverageSufficient(m_request.answeredParts))
        next = std::min(next, m_request.contactCheckAt);
    if (m_request.target->isFanOut() && m_context.now < m_request.partialAnswerAt)
        next = std::min(next, m_request.partialAnswerAt);
    for (const relay_part &part : m_request.parts) {
        if (part.step == step_kind::Waiting)
            next = std::min(next, m_request.queueDeadline);
        if (part.hedgeAt.has_value())
            next = std::min(next, *part.hedgeAt);
    }
    return next;
}

void request_progress::scheduleTimer()
{
    const auto next = nextTimer();
    // If an earlier timer is set, the later time is scheduled when the earlier one fires.
    if (!next.has_value() || (m_request.timerAt.has_value() && *m_request.timerAt <= *next))
        return;
    m_request.timerAt = next;
    m_state.timers.emplace(*next, m_request.id.value);
}

} // namespace waxwing::relay
