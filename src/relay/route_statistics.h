#pragma once

#include "relay/processing_time_estimate.h"
#include "relay/route_document.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace waxwing::relay {

/// Statistics of one host about the requests of a route. Preserved when the document changes.
class route_statistics
{
public:
    explicit route_statistics(const route &target);

    /// Applies a changed route. The balance between its services restarts if they changed.
    void configure(const route &target);

    /// Time since the caller first sent a request, estimated from the caller's remaining time: a
    /// resent request has less time left than the longest one observed. Zero for a first try.
    std::chrono::milliseconds timeSinceFirstTry(std::chrono::milliseconds timeLeft);
    /// Returns the service for the next request, in proportion to the weights of the route.
    const service_id &nextTarget(const route &target);

    /// Processing time from which an answer of a backend server counts as late.
    duration lateThreshold() const { return m_goal / lateGoalDivisor; }

    /// Processing time of the backend servers.
    processing_time_estimate work;
    /// Until when requests are not forwarded, because other hosts reached no servers either.
    time_point forwardPausedUntil{};
    /// Length of that pause; zero after another host has helped.
    duration forwardPause{};

private:
    /// Two thirds of the latency goal remain for waiting for a server and for a second attempt.
    static constexpr int lateGoalDivisor = 3;

    duration m_goal;
    std::vector<weighted_service> m_targets;
    /// Weight by which each target is ahead of (negative) or behind its share.
    std::vector<double> m_credits;
    /// Longest remaining time that a caller stated, taken as that of a first try.
    std::chrono::milliseconds m_firstTryTimeLeft{0};
};

} // namespace waxwing::relay
