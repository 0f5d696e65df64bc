#include "relay/request_forwarding.h"

#include "relay/forwarding_codes.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace waxwing::relay {
namespace {

/// Refusals of a host that reaches no servers, does not know the route yet, or does not understand
/// the request. Another host may answer.
constexpr std::array<std::string_view, 6> unableCodes{
    "unavailable", "not_ready", "behind", "no_route", "no_allowed_server", notUnderstoodCode};

bool meansUnable(std::string_view refusalCode)
{
    return std::find(unableCodes.begin(), unableCodes.end(), refusalCode) != unableCodes.end();
}

} // namespace

request_forwarding::request_forwarding(const relay_context &context, pending_request &request,
                                       request_completion &completion)
    : m_context(context), m_state(context.state), m_request(request), m_completion(completion)
{ }

bool request_forwarding::isIdempotent() const
{
    return m_request.target->semantics == execution_semantics::Idempotent;
}

std::size_t request_forwarding::maxForwards() const
{
    const request_settings &settings = m_state.settings.requests;
    return m_state.contact.isLost() ? settings.maxForwards : settings.maxForwardsInContact;
}

bool request_forwarding::isPossible() const
{
    const request_settings &settings = m_state.settings.requests;
    if (m_request.origin.has_value() || isInProgress()
        || m_request.triedHosts.size() >= maxForwards()
        || m_context.now + settings.minForwardTime > m_request.deadline
        || m_context.now < m_request.statistics->forwardPausedUntil)
        return false;
    // A lost connection may mean that the request crashed its server.
    if (m_request.hasLostConnection)
        return false;
    const bool mayHaveRun = m_request.mayHaveRunElsewhere || m_request.failure.has_value()
        || std::any_of(m_request.parts.begin(), m_request.parts.end(),
                       [](const relay_part &part) { return part.runs > 0; });
    // The next host does not know which servers have run the request, and might send it to more of
    // them than the route allows.
    return !mayHaveRun;
}

bool request_forwarding::start()
{
    const zone_latencies &zones = m_state.leaves.zoneLatencies();
    const placement where = m_state.placementOf(m_request);
    const auto helper =
        m_state.helpers.choose(m_context.members.members(), m_context.members.self().host,
                               m_request.triedHosts, where, zones, m_context.random, m_context.now);
    if (!helper.has_value())
        return false;
    const duration usual = std::max<duration>(m_request.target->latencyTarget,
                                              (m_request.deadline - m_context.now) / 3);
    m_request.triedHosts.push_back(helper->host);
    m_context.count("relay_requests_forwarded_total");
    sendTo(*helper, usual);
    return true;
}

void request_forwarding::sendTo(const member &helper, duration usual)
{
    const zone_latencies &zones = m_state.leaves.zoneLatencies();
    // A part that is still queued here and is sent once contact returns would run on servers of
    // both hosts.
    for (std::size_t i = 0; i < m_request.parts.size(); ++i) {
        removeFromQueue(m_state, m_request, i);
        m_request.parts[i].step = relay_part::step_kind::Failed;
        m_request.parts[i].hedgeAt.reset();
    }
    m_request.failedParts = m_request.parts.size();
    m_request.deferredParts = 0;
    const attempt_id id{++m_context.lastAttempt};
    m_request.forward = forward_in_progress{id, helper.host, m_context.now + usual};
    m_state.forwards.emplace(id.value, m_request.id);
    note(helper.host, "asked");
    m_context.emit(forward_request{
        id,
        {m_context.members.self().host, m_request.document->version(), m_request.maxAttempts},
        helper.peer,
        m_request.request,
        m_request.deadline - zones.roundTrip(helper.zone),
        m_request.caller(),
        m_state.placementOf(m_request).hasRegions()});
}

bool request_forwarding::delegate()
{
    const host_id &self = m_context.members.self().host;
    coordinator_directory &coordinators = m_state.coordinators;
    if (!m_request.target->isFanOut() || m_request.origin.has_value() || m_request.isOwn
        || coordinators.current().contains(self)
        || m_request.triedCoordinators.size() >= coordinators.settings().maxDelegations
        || m_context.now + m_state.settings.requests.minForwardTime > m_request.deadline
        || !m_state.placementOf(m_request).allows(m_state.settings.zone))
        return false;
    const auto isExcluded = [this](const host_id &host) {
        const auto known = m_context.members.members().find(host);
        const auto &tried = m_request.triedCoordinators;
        return known == m_context.members.members().end()
            || known->second.state != member_state::Alive
            || std::find(tried.begin(), tried.end(), host) != tried.end();
    };
    const auto chosen = coordinators.pick(m_state.settings.zone, m_state.settings.regions,
                                          isExcluded, m_context.random, m_context.now);
    if (!chosen.has_value())
        return false;
    m_request.triedCoordinators.push_back(chosen->host);
    m_context.count("relay_requests_delegated_total");
    const duration roundTrip = m_state.leaves.zoneLatencies().roundTrip(chosen->zone);
    const duration usual = coordinators.acknowledges(chosen->host)
        ? roundTrip + m_state.settings.requests.acknowledgementTime
        : duration(m_request.target->latencyTarget);
    sendTo(*chosen, usual);
    m_request.forward->isDelegated = true;
    return true;
}

void request_forwarding::onAcknowledged()
{
    if (!isInProgress() || !m_request.forward->isDelegated)
        return;
    m_state.coordinators.onTaken(m_request.forward->host);
    m_request.forward->lateAt = m_request.deadline;
}

void request_forwarding::onNotTaken(const host_id &coordinator)
{
    m_state.coordinators.onNotTaken(coordinator, m_context.now);
    m_context.count("relay_delegations_not_taken_total");
}

void request_forwarding::sendTrials()
{
    if (!isIdempotent() || m_request.maxAttempts < 2 || m_context.now < m_state.nextTrialAt)
        return;
    if (!m_state.contact.isLost() && !m_state.helpers.hasHelper(m_context.now))
        return;
    const request_settings &settings = m_state.settings.requests;
    const placement where = m_state.placementOf(m_request);
    const std::size_t all = m_request.parts.size();
    const std::size_t first = m_context.random(static_cast<std::uint32_t>(all));
    std::size_t sent = 0;
    for (std::size_t i = 0; i < all && sent < settings.trialsPerForward; ++i) {
        const service_id &service = m_request.parts[(first + i) % all].service;
        const leaf_choice choice =
            m_state.leaves.choose(service, where, {}, m_request.statistics->work.typical(),
                                  m_context.random, m_context.now);
        if (choice.result != leaf_choice::result_kind::Found || choice.server->inFlight() > 0)
            continue;
        // The first one that arrives ends the loss of contact.
        const bool isFree = m_state.contact.isLost();
        if (!isFree
            && (!m_state.leaves.isCutOff(service, where)
                || !m_state.budgetOf(service).spend(extra_request_kind::NeededRetry,
                                                    m_context.now)))
            continue;
        const attempt_id id{++m_context.lastAttempt};
        choice.server->onSent(id, choice.expected, m_context.now);
        m_state.attempts.emplace(id.value,
                                 relay_attempt{std::nullopt, 0, choice.server, m_context.now,
                                               m_request.statistics, m_request.fingerprint});
        m_state.abandoned.emplace(m_context.now + settings.abandonedRequestTimeout, id.value);
        const registered_server &entry = choice.server->entry();
        m_context.emit(send_to_leaf{id, entry.id, entry.address, m_request.request,
                                    m_request.deadline, m_request.caller()});
        ++sent;
    }
    if (sent == 0)
        return;
    m_request.wasCopied = true;
    --m_request.maxAttempts;
    m_state.nextTrialAt = m_context.now + settings.trialInterval;
}

bool request_forwarding::mayRunHere() const
{
    return !m_request.mayHaveRunElsewhere && !m_state.contact.isLost();
}

host_id request_forwarding::endForward()
{
    const forward_in_progress ended = *std::exchange(m_request.forward, std::nullopt);
    m_state.forwards.erase(ended.attempt.value);
    return ended.host;
}

void request_forwarding::note(const host_id &host, std::string_view what)
{
    m_completion.recordEvent(fmt::format("host {} {}", host.value, what));
}

void request_forwarding::onExhausted()
{
    if (m_request.triedHosts.empty() || m_request.mayHaveRunElsewhere || m_state.contact.isLost())
        return;
    const request_settings &settings = m_state.settings.requests;
    route_statistics &route = *m_request.statistics;
    route.forwardPause = std::clamp<duration>(2 * route.forwardPause, settings.firstForwardPause,
                                              settings.longestForwardPause);
    route.forwardPausedUntil = m_context.now + route.forwardPause;
}

request_forwarding::next_step request_forwarding::onAnswer(const leaf_reply &reply,
                                                           std::string_view refusalCode)
{
    const bool wasLate = m_request.forward->isLate;
    const bool wasDelegated = m_request.forward->isDelegated;
    const host_id host = endForward();
    if (refusalCode.empty()) {
        if (!wasLate && !wasDelegated)
            m_state.helpers.onHelped(host, m_context.now);
        m_request.statistics->forwardPause = {};
        note(host, fmt::format("answered {}", reply.status));
        return next_step::Answer;
    }
    note(host, fmt::format("refused: {}", refusalCode));
    // After any other refusal the request may have run, or failed for a reason that holds on all
    // hosts.
    if (!meansUnable(refusalCode))
        return next_step::Answer;
    if (wasDelegated) {
        onNotTaken(host);
        return next_step::TryNext;
    }
    m_state.helpers.onUnable(host, m_context.now);
    return next_step::TryNext;
}

void request_forwarding::onFailure(leaf_failure reason)
{
    const bool wasDelegated = m_request.forward->isDelegated;
    const host_id host = endForward();
    if (wasDelegated)
        onNotTaken(host);
    else
        m_state.helpers.onUnable(host, m_context.now);
    m_context.count("relay_forwards_failed_total");
    note(host, "did not answer");
    if (reason != leaf_failure::NotSent && reason != leaf_failure::DeadlinePassed)
        m_request.mayHaveRunElsewhere = true;
}

std::optional<time_point> request_forwarding::nextTimer() const
{
    if (!isInProgress() || m_request.forward->isLate)
        return std::nullopt;
    return m_request.forward->lateAt;
}

bool request_forwarding::onTimer()
{
    if (!isInProgress() || m_request.forward->isLate || m_context.now < m_request.forward->lateAt)
        return false;
    m_request.forward->isLate = true;
    if (m_request.forward->isDelegated) {
        const host_id &coordinator = m_request.forward->host;
        note(coordinator, "did not acknowledge");
        onNotTaken(coordinator);
        if (!m_state.coordinators.acknowledges(coordinator) || m_request.maxAttempts < 2
            || !m_state.coordinators.mayRepeat(m_context.now))
            return false;
        // It may still send the parts to a server each before it reads that it shall not.
        m_request.wasCopied = true;
        --m_request.maxAttempts;
        m_context.emit(cancel_forward{m_request.forward->attempt});
        m_context.count("relay_delegations_taken_back_total");
        endForward();
        return true;
    }
    m_state.helpers.onLate(m_request.forward->host, m_context.now);
    m_context.count("relay_forwards_late_total");
    note(m_request.forward->host, "is late");
    return false;
}

} // namespace waxwing::relay
