#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace waxwing {

/// Adaptive number of requests that may be in progress on one server (additive increase,
/// multiplicative decrease), with a ramp after a cold start.
class concurrency_limit
{
public:
    /// Starts cold with a limit of 1; grows to at most `ceiling`.
    concurrency_limit(double ceiling, time_point now, std::chrono::milliseconds rampTime);

    /// A request was answered in time while `inFlight` requests, it included, were in progress.
    void onGoodReply(std::uint32_t inFlight, time_point now);
    /// The server refused for load. Counts once per `roundTrip`.
    void onOverload(double factor, duration roundTrip, time_point now);
    /// The server was away; starts again with a limit of 1.
    void restart(time_point now, std::chrono::milliseconds rampTime);
    /// Changes the largest limit.
    void setCeiling(double ceiling);

    /// Requests that may be in progress, at least 1 unless the ceiling is 0.
    std::uint32_t value() const;

private:
    double m_limit = 1;
    double m_ceiling;
    time_point m_coldUntil;
    time_point m_nextDecrease;
};

} // namespace waxwing
