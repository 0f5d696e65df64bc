#include "backends/concurrency_limit.h"

#include <algorithm>

namespace waxwing {

concurrency_limit::concurrency_limit(double ceiling, time_point now,
                                     std::chrono::milliseconds rampTime)
    : m_ceiling(ceiling), m_coldUntil(now + rampTime)
{ }

void concurrency_limit::onGoodReply(std::uint32_t inFlight, time_point now)
{
    // Replies at less than half of the limit don't show that the server could handle a higher one.
    if (inFlight * 2 < m_limit)
        return;
    m_limit += now < m_coldUntil ? 1 : 1 / m_limit;
    m_limit = std::min(m_limit, std::max(m_ceiling, 1.0));
}

void concurrency_limit::onOverload(double factor, duration roundTrip, time_point now)
{
    // Refusals within one round trip are caused by the same limit, so they lower it only once.
    if (now < m_nextDecrease)
        return;
    m_limit = std::max(1.0, m_limit * factor);
    m_nextDecrease = now + roundTrip;
    m_coldUntil = now;
}

void concurrency_limit::restart(time_point now, std::chrono::milliseconds rampTime)
{
    m_limit = 1;
    m_coldUntil = now + rampTime;
}

void concurrency_limit::setCeiling(double ceiling)
{
    m_ceiling = ceiling;
    m_limit = std::clamp(m_limit, 1.0, std::max(m_ceiling, 1.0));
}

std::uint32_t concurrency_limit::value() const
{
    return static_cast<std::uint32_t>(std::min(m_limit, m_ceiling));
}

} // namespace waxwing
