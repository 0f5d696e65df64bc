#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <chrono>
#include <cstdint>

namespace waxwing {

/// Exponential backoff with jitter for calls to one destination.
class retry_backoff
{
public:
    /// Records a failure. The delay doubles from `first` up to `longest`; a random half to all of
    /// it is used, so that hosts that failed together do not retry together.
    void fail(time_point now, std::chrono::milliseconds first, std::chrono::milliseconds longest,
              random_engine &random);
    /// Records a success, which resets the delay.
    void succeed();
    /// Whether the delay has elapsed, so that a call may be made.
    bool hasElapsed(time_point now) const { return now >= m_until; }
    /// Earliest time of the next call.
    time_point until() const { return m_until; }

private:
    std::uint32_t m_failures = 0;
    time_point m_until = time_point::min();
};

} // namespace waxwing
