#include "allowance/rate_limit_share.h"

#include <algorithm>
#include <utility>

namespace waxwing {

rate_limit_share::rate_limit_share(const rate_limit_share_settings &settings, double perSecond,
                                   std::size_t hosts, double phase, time_point now)
    : m_settings(settings), m_limit(perSecond), m_period(periodOf(perSecond, hosts)),
      m_turn(now + std::chrono::duration_cast<duration>(m_period * phase))
{ }

duration rate_limit_share::periodOf(double perSecond, std::size_t hosts) const
{
    const double share = std::max(perSecond, m_settings.minPerSecond)
        / static_cast<double>(std::max<std::size_t>(hosts, 1));
    // A limit above the resolution of the clock does not limit anything.
    return std::max(duration(1),
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / share)));
}

void rate_limit_share::update(double perSecond, std::size_t hosts, time_point now)
{
    m_limit = perSecond;
    const duration before = std::exchange(m_period, periodOf(perSecond, hosts));
    if (m_turn <= now || m_period == before)
        return;
    // Keeps the position within the period, so that the turns of the hosts stay spread.
    const double factor = std::chrono::duration<double>(m_period) / before;
    m_turn = now + std::chrono::duration_cast<duration>((m_turn - now) * factor);
}

std::size_t rate_limit_share::countUntil(time_point now, time_point until) const
{
    const time_point first = oldestTurn(now);
    return first > until ? 0 : static_cast<std::size_t>((until - first) / m_period) + 1;
}

time_point rate_limit_share::oldestTurn(time_point now) const
{
    const time_point expired = now - m_settings.turnValidity;
    if (m_turn > expired)
        return m_turn;
    return m_turn + m_period * ((expired - m_turn) / m_period + 1);
}

} // namespace waxwing
