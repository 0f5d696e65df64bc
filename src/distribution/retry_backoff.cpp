#include "distribution/retry_backoff.h"

#include <algorithm>

namespace waxwing {

void retry_backoff::fail(time_point now, std::chrono::milliseconds first,
                         std::chrono::milliseconds longest, random_engine &random)
{
    constexpr std::uint32_t maxDoublings = 16;
    const auto doublings = std::min(m_failures++, maxDoublings);
    const auto delay = std::min(longest, first * (1U << doublings));
    const auto half = static_cast<std::uint32_t>(delay.count() / 2);
    m_until = now + std::chrono::milliseconds(half + random(half + 1));
}

void retry_backoff::succeed()
{
    m_failures = 0;
    m_until = time_point::min();
}

} // namespace waxwing
