#include "relay/server_contact.h"

#include <utility>

namespace waxwing::relay {

std::optional<duration> server_contact::onAnswer(time_point now)
{
    m_lastAnswer = now;
    m_silent.clear();
    m_suspectedSince.reset();
    const auto since = std::exchange(m_lostSince, std::nullopt);
    return since.has_value() ? std::optional(now - *since) : std::nullopt;
}

void server_contact::onNoResponse(const server_id &server, time_point now)
{
    m_silent.insert(server);
    m_evidenceAt = now;
}

bool server_contact::expire(time_point now)
{
    if (!isLost() || now - m_evidenceAt < m_settings.evidenceValidity)
        return false;
    m_silent.clear();
    m_lostSince.reset();
    return true;
}

bool server_contact::check(const std::vector<server_id> &overdue, time_point now)
{
    if (isLost() || !isQuiet(now))
        return false;
    std::set<server_id> servers(overdue.begin(), overdue.end());
    servers.insert(m_silent.begin(), m_silent.end());
    if (servers.size() < m_settings.minServers) {
        m_suspectedSince.reset();
        return false;
    }
    if (!m_suspectedSince.has_value())
        m_suspectedSince = now;
    if (now - *m_suspectedSince < m_settings.confirmation)
        return false;
    m_suspectedSince.reset();
    m_lostSince = now;
    m_evidenceAt = now;
    return true;
}

std::optional<time_point> server_contact::nextCheck() const
{
    return m_suspectedSince.has_value() ? std::optional(*m_suspectedSince + m_settings.confirmation)
                                        : std::nullopt;
}

} // namespace waxwing::relay
