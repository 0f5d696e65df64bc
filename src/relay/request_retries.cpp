// Retries, hedges and failures of parts of a request.

#include "relay/request_coverage.h"
#include "relay/request_progress.h"

#include <algorithm>
#include <utility>

namespace waxwing::relay {

void request_progress::failPart(std::size_t index, std::string_view cause)
{
    relay_part &part = m_request.parts[index];
    removeFromQueue(m_state, m_request, index);
    if (part.step == step_kind::Deferred)
        --m_request.deferredParts;
    part.step = step_kind::Failed;
    part.hedgeAt.reset();
    ++m_request.failedParts;
    m_completion.recordIncident(index, cause);
}

extra_request_kind request_progress::retryKind(std::size_t index) const
{
    std::size_t atRisk = m_request.failedParts;
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        const relay_part &part = m_request.parts[i];
        const bool needsRetry = part.step == step_kind::Deferred
            || (part.step == step_kind::InProgress && part.attempts.empty());
        atRisk += i == index || needsRetry ? 1 : 0;
    }
    return isCoverageSufficient(m_request.parts.size() - atRisk) ? extra_request_kind::OptionalRetry
                                                                 : extra_request_kind::NeededRetry;
}

bool request_progress::isHedgeNeeded(std::size_t index, duration expected) const
{
    // A request that may crash servers is not sent to more of them.
    return m_state.settings.policy.neededHedges && !isSuspectedOfCrashes()
        && request_coverage(m_request).needsHedge(
            index, expected, m_state.settings.requests.hedgeRecheckInterval, m_context.now);
}

bool request_progress::sendExtra(std::size_t index, extra_request_kind kind)
{
    const bool isRetry = kind != extra_request_kind::Hedge;
    if (!isRetry && !m_state.settings.policy.hedging)
        return false;
    relay_part &part = m_request.parts[index];
    const leaf_choice choice = choose(part);
    if (choice.result != leaf_choice::result_kind::Found)
        return false;
    const bool isNeededHedge = !isRetry && isHedgeNeeded(index, choice.expected);
    if (isNeededHedge)
        kind = extra_request_kind::NeededRetry;
    // A hedge to an unhealthy server would not be answered sooner. While requests are queued for
    // the service, a hedge would take the slot of a request that has not been sent yet.
    else if (!isRetry && (!choice.healthy || !m_state.waiting.isEmpty(part.service)))
        return false;
    if (!isRetry && !m_state.hedgeRate.isAvailable(m_context.now)) {
        m_context.count("relay_hedges_over_rate_total");
        return false;
    }
    if (!m_state.budgetOf(part.service).spend(kind, m_context.now)) {
        m_context.count(isRetry ? "relay_retries_over_budget_total"
                                : "relay_hedges_over_budget_total");
        return false;
    }
    if (!isRetry)
        m_state.hedgeRate.onHedge(m_context.now);
    ++m_request.extraAttempts;
    m_context.count(isRetry ? "relay_retries_total" : "relay_hedges_total");
    if (isNeededHedge) {
        m_context.count("relay_hedges_needed_total");
        m_completion.recordIncident(index, "hedge needed");
    }
    send(index, choice);
    return true;
}

void request_progress::retry(std::size_t index, bool costsBudget, std::string_view cause)
{
    relay_part &part = m_request.parts[index];
    m_completion.recordIncident(index, cause);
    if (!hasAttemptsLeft(part)) {
        if (part.attempts.empty())
            failPart(index, "no attempt left");
        return;
    }
    // One of two hedged attempts failed; the other is still in progress.
    if (!part.attempts.empty())
        return;
    if (!costsBudget)
        sendOrEnqueue(index);
    else if (!sendExtra(index, retryKind(index)))
        defer(index);
}

time_point request_progress::retryDeadline() const
{
    if (m_request.target->isFanOut())
        return m_request.queueDeadline;
    return m_request.arrived
        + scaled(m_request.target->latencyTarget, m_state.settings.requests.maxWaitFraction);
}

void request_progress::defer(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    const bool isNew = part.step != step_kind::Deferred;
    const std::size_t deferred = m_request.deferredParts + (isNew ? 1 : 0);
    const std::size_t surplus =
        deferred - std::min(deferred, m_state.settings.requests.maxNeededDeferrals);
    if (!m_state.settings.policy.deferredParts || m_context.now >= retryDeadline()
        || !isCoverageSufficient(m_request.parts.size() - m_request.failedParts - surplus)) {
        failPart(index, "no retry possible");
        return;
    }
    if (isNew) {
        ++m_request.deferredParts;
        m_context.count("relay_retries_deferred_total");
    }
    part.step = step_kind::Deferred;
    // A server that refused the part may accept it later, and one that lost its answer may answer.
    part.triedServers.clear();
    part.hedgeAt = m_context.now + m_state.settings.requests.hedgeRecheckInterval;
}

void request_progress::finishDeferredParts()
{
    const std::size_t finished = m_request.answeredParts + m_request.failedParts;
    if (m_request.deferredParts == 0 || finished + m_request.deferredParts < m_request.parts.size()
        || !isCoverageSufficient(m_request.answeredParts))
        return;
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        if (m_request.parts[i].step == step_kind::Deferred
            && !sendExtra(i, extra_request_kind::OptionalRetry))
            failPart(i, "no retry possible");
    }
}

void request_progress::onHedgeTimer(std::size_t index)
{
    relay_part &part = m_request.parts[index];
    part.hedgeAt.reset();
    const bool isRetry = part.attempts.empty();
    if (isRetry && isSuspectedOfCrashes()) {
        // Servers with faulty connections lose only some of their answers, so a reply to any other
        // part shows that the request does not crash servers. Until there is one, a retry could
        // crash the remaining servers of the shard.
        part.hedgeAt = m_context.now + m_state.settings.requests.lossRetryDelay;
        return;
    }
    if (sendExtra(index, isRetry ? retryKind(index) : extra_request_kind::Hedge)) {
        m_completion.recordIncident(index, isRetry ? "retried" : "hedged");
        return;
    }
    if (isRetry)
        defer(index);
    else if (hasAttemptsLeft(part))
        part.hedgeAt = m_context.now + m_state.settings.requests.hedgeRecheckInterval;
}

} // namespace waxwing::relay
