#include "balancing/observation_reports.h"

#include <algorithm>

namespace waxwing {

void observation_reports::onAnswer(bool isSlow, time_point now)
{
    m_answers.add(1, now);
    if (isSlow)
        m_slowAnswers.add(1, now);
}

bool observation_reports::isTrusted(time_point sent, time_point now) const
{
    if (sent <= m_disturbedUntil)
        return false;
    const double slow = m_slowAnswers.value(now);
    return slow < m_settings.minSlowAnswers
        || slow <= m_settings.maxSlowShare * m_answers.value(now);
}

bool observation_reports::add(const pending_observation &observed, time_point now)
{
    const auto known =
        std::find_if(m_pending.begin(), m_pending.end(), [&](const pending_observation &each) {
            return each.server == observed.server;
        });
    if (known != m_pending.end()) {
        *known = observed;
        return true;
    }
    if (m_pending.size() >= m_settings.maxPending)
        return false;
    if (m_pending.empty())
        m_pendingSince = now;
    m_pending.push_back(observed);
    return true;
}

std::optional<time_point> observation_reports::nextSend() const
{
    if (m_pending.empty())
        return std::nullopt;
    return m_lastSend.has_value() ? std::max(m_pendingSince, *m_lastSend + m_settings.interval)
                                  : m_pendingSince;
}

std::vector<pending_observation> observation_reports::take(std::size_t count, time_point now)
{
    const auto due = nextSend();
    if (!due.has_value() || now < *due)
        return {};
    const auto end =
        m_pending.begin() + static_cast<std::ptrdiff_t>(std::min(count, m_pending.size()));
    std::vector<pending_observation> result(m_pending.begin(), end);
    m_pending.erase(m_pending.begin(), end);
    m_lastSend = now;
    return result;
}

} // namespace waxwing
