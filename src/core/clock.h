#pragma once

#include <chrono>

namespace waxwing {

/// Monotonic time; only differences have a meaning.
using time_point = std::chrono::steady_clock::time_point;
/// Length of time, in nanoseconds.
using duration = std::chrono::steady_clock::duration;
/// Wall-clock time with a resolution of one millisecond, as in the configuration document.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. Passed in, so that tests and replays control it.
class clock
{
public:
    virtual ~clock() = default;
    /// Current monotonic time.
    virtual time_point now() const = 0;
    /// Current wall-clock time.
    virtual wall_time wallNow() const = 0;
};

/// The clocks of this machine.
class system_clock final : public clock
{
public:
    time_point now() const override;
    wall_time wallNow() const override;
};

} // namespace waxwing
