// Handlers of `relay_dispatch` for observations of servers that hosts of a zone share.

#include "relay/relay_dispatch.h"

namespace waxwing::relay {

void relay_dispatch::observeAnswer(leaf &server, double slowness, time_point sent)
{
    if (m_parts.observations.has_value())
        m_parts.observations->onAnswer(server, slowness, sent, m_now, m_effects);
}

void relay_dispatch::observeDatagram(const datagram_received &received)
{
    if (!m_parts.observations.has_value()
        || received.message.kind != gossip_message::message_kind::ServerObservations)
        return;
    m_parts.observations->onDatagram(received.message, m_parts.members.self(),
                                     m_parts.requests.leaves, m_now, m_effects);
}

void relay_dispatch::observeUnanswered()
{
    relay_requests &requests = m_parts.requests;
    // Without answers of other servers since, the paths of this host are the likely cause.
    const time_point lastAnswer = m_now - requests.contact.timeSinceAnswer(m_now);
    if (requests.contact.isLost())
        return;
    for (const auto &[id, attempt] : requests.attempts) {
        if (attempt.sent >= lastAnswer)
            continue;
        leaf &server = *attempt.server;
        const duration unanswered =
            m_now - attempt.sent - requests.leaves.zoneLatencies().roundTrip(server.entry().zone);
        m_parts.observations->onUnanswered(server, attempt.statistics->work.typical(), unanswered,
                                           attempt.sent, m_now, m_effects);
    }
}

void relay_dispatch::shareObservations()
{
    if (!m_parts.observations.has_value())
        return;
    observation_exchange &observations = *m_parts.observations;
    if (observations.isCheckDue(m_now))
        observeUnanswered();
    observations.scheduleCheck(!m_parts.requests.attempts.empty(), m_now);
    observations.send(m_parts.members.self(), m_parts.members.members(), m_now, m_effects);
}

} // namespace waxwing::relay
