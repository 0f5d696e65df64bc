#pragma once

#include "relay/processing_time_estimate.h"
#include "relay/route_document.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace waxwing::relay {

/// What a host measured about the requests of a route. Kept while the document changes.
class route_statistics
{
public:
    explicit route_statistics(const route &target);

    /// Takes over a changed route.
    void configure(const route &target);

    /// Time that the caller of a request has been waiting already, when it sends it again with
    /// less time left than a first try has.
    std::chrono::milliseconds timeSinceFirstTry(std::chrono::milliseconds timeLeft);
    /// The service that the next request goes to, in proportion to the weights of the route.
    const service_id &nextTarget(const route &target);

    /// Time at a backend server from which an answer counts as late.
    duration lateThreshold() const { return m_goal / lateGoalDivisor; }

    /// Work of the backend servers.
    processing_time_estimate work;

private:
    /// Two thirds of the goal are left for the wait before a server and for a second one.
    static constexpr int lateGoalDivisor = 3;

    duration m_goal;
    std::vector<weighted_service> m_targets;
    /// What each target is ahead of (negative) or behind its share.
    std::vector<double> m_credits;
    /// The most time that a caller had; that of first tries.
    std::chrono::milliseconds m_firstTryTimeLeft{0};
};

} // namespace waxwing::relay
