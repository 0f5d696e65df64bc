#pragma once

#include "membership/membership.h"
#include "quarantine/request_quarantine.h"
#include "relay/extra_request_budget.h"
#include "relay/leaf_pool.h"
#include "relay/store_follower.h"
#include "relay/store_roles.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace waxwing::relay {

/// When a request is sent again, answered without all parts, or given up.
struct request_settings
{
    /// Time before the deadline at which a request is answered at the latest; covers the way back
    /// to the caller.
    std::chrono::milliseconds deadlineMargin{8};
    /// Part of the latency goal that is kept for the way to the caller and back.
    double goalMarginFraction = 0.12;
    /// Least time kept for that.
    std::chrono::milliseconds minGoalMargin{12};
    /// Part of the latency goal that a request which the caller sent again gets at least.
    double minResendGoalFraction = 0.5;
    /// Part of the latency goal for which a request waits for a server at most. After that a
    /// caller does better to ask another host.
    double maxWaitFraction = 0.25;
    /// The same for the parts of a fan-out of which another part is at work: its answer is lost
    /// with them, and asking again would repeat the work. Leaves time for a usual answer.
    double maxExtendedWaitFraction = 0.55;
    /// Longest time before a hedge, as part of the latency goal, so that the second server has as
    /// long as the first.
    double maxHedgeDelayFraction = 0.4;
    /// Least time after half of the parts are answered before the others are hedged; a few
    /// scheduling delays of a busy host.
    std::chrono::milliseconds minStragglerLag{8};
    /// Time before a part of a fan-out is retried after a lost connection while no other part is
    /// answered. Other parts answer in it unless the request is what crashes servers.
    std::chrono::milliseconds lossRetryDelay{12};
    /// Parts that lose their connection before any is answered after which no part is retried until
    /// one is answered, and the fan-out is given up if none is.
    std::size_t lossesToGiveUp = 3;
    /// Time after which a hedge that could not be sent is considered again.
    std::chrono::milliseconds hedgeRecheckInterval{15};
    /// Time that a request which is no longer needed has to end before its connection is closed.
    /// Longer than usual pauses of servers, since a new connection costs more than the wait.
    std::chrono::milliseconds abandonedRequestTimeout{450};
    /// Longest `Retry-After`, as part of the caller's time; callers wait no longer.
    double maxRetryAfterFraction = 0.33;
    /// Requests in progress at which further ones are refused; bounds the memory of the host.
    std::size_t maxInProgress = 1500;

    bool operator==(const request_settings &) const = default;
};

/// Everything that the decisions of a relay host depend on besides events.
struct relay_settings
{
    /// Id of the host.
    host_id host;
    /// Availability zone of the host.
    zone_id zone;
    /// Region of each availability zone.
    std::map<zone_id, std::string> regions;
    /// Sending, waiting and answering.
    request_settings requests;
    /// Choice of servers.
    leaf_pool_settings leaves;
    /// Hedges and retries.
    extra_request_budget_settings extras;
    /// Calls to the store.
    store_follower_settings store;
    /// Which hosts make them.
    store_roles_settings roles;
    /// Requests that crash servers. A caller may lose two answers by chance.
    quarantine_settings quarantine{.crashesToList = 3};
    /// Other relay hosts.
    membership_settings members;
    /// Time after a stop was requested in which new requests are accepted, until the platform
    /// sends no more: it asks for readiness once a second and acts on the second miss.
    std::chrono::milliseconds stopNotice{2400};
    /// Longest time after that for requests in progress.
    std::chrono::milliseconds stopLimit{3200};

    bool operator==(const relay_settings &) const = default;
};

} // namespace waxwing::relay
