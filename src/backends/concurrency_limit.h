#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace waxwing {

/// Adaptive limit for the requests in progress on one server (additive increase, multiplicative
/// decrease), with faster growth after a cold start.
class concurrency_limit
{
public:
    /// Starts with a limit of 1 that grows by 1 per timely reply for `rampTime`, up to `ceiling`.
    concurrency_limit(double ceiling, time_point now, std::chrono::milliseconds rampTime);

    /// Called when a request was answered in time while `inFlight` requests, including this one,
    /// were in progress.
    void onGoodReply(std::uint32_t inFlight, time_point now);
    /// Called when the server refused a request because of overload. Multiplies the limit by
    /// `factor`, at most once per `roundTrip`, and ends the ramp.
    void onOverload(double factor, duration roundTrip, time_point now);
    /// Resets the limit to 1 and starts a new ramp, after the server was unavailable.
    void restart(time_point now, std::chrono::milliseconds rampTime);
    /// Changes the upper bound of the limit.
    void setCeiling(double ceiling);

    /// Maximum requests in progress; at least 1 unless the ceiling is 0.
    std::uint32_t value() const;

private:
    double m_limit = 1;
    double m_ceiling;
    time_point m_coldUntil;
    time_point m_nextDecrease;
};

} // namespace waxwing
