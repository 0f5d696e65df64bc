#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <chrono>
#include <cstdint>

namespace waxwing {

/// Pauses between failed calls to one destination.
class retry_backoff
{
public:
    /// Notes a failure. Doubles the pause from `first` up to `longest` and takes half to all of
    /// it, so that hosts that failed together do not come back together.
    void fail(time_point now, std::chrono::milliseconds first, std::chrono::milliseconds longest,
              random_engine &random);
    /// Notes a success.
    void succeed();
    /// Whether a call may be made.
    bool hasElapsed(time_point now) const { return now >= m_until; }
    /// When a call may be made.
    time_point until() const { return m_until; }

private:
    std::uint32_t m_failures = 0;
    time_point m_until = time_point::min();
};

} // namespace waxwing
