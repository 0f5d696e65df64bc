#include "relay/hedge_rate_limit.h"

#include <cmath>

namespace waxwing::relay {

double hedge_rate_limit::decayUntil(time_point now) const
{
    const std::chrono::duration<double> age = now - m_at;
    const std::chrono::duration<double> window = m_settings.window;
    return std::exp(-age.count() / window.count());
}

void hedge_rate_limit::decay(time_point now)
{
    const double factor = decayUntil(now);
    m_sent *= factor;
    m_hedges *= factor;
    m_at = now;
}

void hedge_rate_limit::onSent(time_point now)
{
    decay(now);
    ++m_sent;
}

void hedge_rate_limit::onHedge(time_point now)
{
    decay(now);
    ++m_hedges;
}

bool hedge_rate_limit::isAvailable(time_point now) const
{
    if (!m_settings.isEnabled)
        return true;
    const double factor = decayUntil(now);
    return m_hedges * factor + 1 <= m_settings.base + m_settings.share * m_sent * factor;
}

} // namespace waxwing::relay
