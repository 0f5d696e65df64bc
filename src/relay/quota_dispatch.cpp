// Handlers of `relay_dispatch` for messages between hosts and for quotas.

#include "quarantine/crash_reports.h"
#include "relay/relay_dispatch.h"

#include <fmt/format.h>

#include <utility>

namespace waxwing::relay {

void relay_dispatch::operator()(const datagram_received &received)
{
    const gossip_message &message = received.message;
    if (message.kind == gossip_message::message_kind::QuotaReport
        || message.kind == gossip_message::message_kind::QuotaAnswer) {
        // Hosts that start learn each other sooner, and the owners all hosts that report to them.
        if (m_parts.quotas.isActive())
            m_parts.members.onDatagram(m_context, received.from, message);
        m_parts.quotas.onDatagram(received.from, message, m_parts.members, m_now, m_effects);
        return;
    }
    m_parts.members.onDatagram(m_context, received.from, message);
    for (const fact &newFact : m_parts.members.takeNewFacts()) {
        if (newFact.kind == fact_kind::RequestCrash) {
            if (const auto report = crash_reports::read(newFact))
                m_parts.requests.quarantine.onReport(*report, m_now);
            continue;
        }
        if (newFact.kind != fact_kind::RequestQuarantined)
            continue;
        m_parts.requests.quarantine.onFact(newFact, m_now);
        appendLog(m_effects, log_level::Info, "heard of a request that crashed a backend server",
                  {{"fingerprint", newFact.subject},
                   {"crashes", fmt::to_string(newFact.value)},
                   {"from", newFact.origin.value}});
    }
}

time_point relay_dispatch::lateAt(const request_received &received, const route &target)
{
    std::shared_ptr<route_statistics> &statistics = m_parts.requests.routeStatistics[target.name];
    if (statistics == nullptr)
        statistics = std::make_shared<route_statistics>(target);
    const auto timeLeft = received.request->timeLeft.value_or(target.callerTimeout);
    const request_settings &settings = m_parts.settings.requests;
    const duration used = statistics->timeSinceFirstTry(timeLeft) + received.delay
        + statistics->work.typical() + settings.minGoalMargin;
    return m_now + target.latencyTarget - used;
}

void relay_dispatch::startWithinQuota(const request_received &received, const route &target)
{
    // The host that forwarded a request has counted it.
    const organisation *customer = received.origin.has_value()
        ? nullptr
        : m_parts.requests.document->organisations().findByKey(received.request->apiKey);
    quota_admission::outcome outcome;
    if (customer != nullptr && m_parts.quotas.isActive())
        outcome =
            m_parts.quotas.admit(received, *customer, lateAt(received, target), m_now, m_effects);
    if (outcome.refused.has_value())
        answerRefusal(received, *std::move(outcome.refused));
    else if (!outcome.waits)
        start(received, target);
}

void relay_dispatch::countForQuota(const request_received &received, const refusal &reason)
{
    if (reason.code != "overloaded" || m_parts.requests.document == nullptr)
        return;
    const organisation *customer =
        m_parts.requests.document->organisations().findByKey(received.request->apiKey);
    if (customer != nullptr)
        m_parts.quotas.onNoRoom(*customer, m_effects);
}

void relay_dispatch::finishQuotaWaits()
{
    const relay_requests &requests = m_parts.requests;
    for (auto &[received, refused] :
         m_parts.quotas.synchronise(requests.document, m_parts.members, m_now, m_effects)) {
        // The routes may have been replaced, and the host filled, while the request waited.
        const route *target =
            requests.document->find(received.request->hostName, received.request->target);
        if (!refused.has_value())
            refused = admissionRefusal(received, target);
        if (refused.has_value())
            answerRefusal(received, *std::move(refused));
        else
            start(received, *target);
    }
}

} // namespace waxwing::relay
