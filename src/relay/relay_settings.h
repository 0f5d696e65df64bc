#pragma once

#include "coordinators/coordinator_set.h"
#include "membership/membership.h"
#include "quarantine/request_quarantine.h"
#include "quota/quota_settings.h"
#include "relay/extra_request_budget.h"
#include "relay/forwarding_hosts.h"
#include "relay/hedge_rate_limit.h"
#include "relay/leaf_pool.h"
#include "relay/observation_exchange.h"
#include "relay/policy_settings.h"
#include "relay/server_contact.h"
#include "relay/settled_number.h"
#include "relay/store_roles.h"
#include "relay/store_watcher.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace waxwing::relay {

/// Timing of waits, hedges, retries, incomplete answers and refusals.
struct request_settings
{
    /// Time before the caller's deadline by which every request is answered. Covers the network
    /// latency to the caller.
    std::chrono::milliseconds deadlineMargin{8};
    /// Fraction of the latency goal reserved for the network round trip to the caller.
    double goalMarginFraction = 0.12;
    /// Lower bound of the time reserved for that round trip, and for the one that opens the
    /// connection if it is new.
    std::chrono::milliseconds minGoalMargin{12};
    /// Minimum time until a request that the caller resent is answered without its missing parts,
    /// as a fraction of the latency goal.
    double minResendGoalFraction = 0.5;
    /// Maximum time that a request waits for a free server, as a fraction of the latency goal.
    /// After that, another host is likely to answer the caller sooner.
    double maxWaitFraction = 0.25;
    /// Maximum time that parts of a fan-out wait for a free server while another part is in
    /// progress, as a fraction of the latency goal. Refusing them would discard the answer of that
    /// part, and a resent request would repeat its processing. Leaves time for a usual answer.
    double maxExtendedWaitFraction = 0.55;
    /// Maximum delay before a hedge, as a fraction of the latency goal, so that the second server
    /// has as much time as the first.
    double maxHedgeDelayFraction = 0.4;
    /// Delay before a part of a fan-out is retried after a lost connection while no other part is
    /// answered. Other parts are answered within this time unless the request itself crashes
    /// servers.
    std::chrono::milliseconds lossRetryDelay{12};
    /// Number of lost connections before the first answered part from which parts of a fan-out are
    /// not retried until one is answered. The fan-out fails if none is.
    std::size_t lossesToGiveUp = 3;
    /// Delay before the next try to send a hedge that could not be sent.
    std::chrono::milliseconds hedgeRecheckInterval{15};
    /// Number of deferred parts beyond those that an answer can leave out. With more of them the
    /// request fails at once, while its caller still has time for another try.
    std::size_t maxNeededDeferrals = 2;
    /// Time after which the connection of a request that is no longer needed is closed. Longer than
    /// usual pauses of servers, since a new connection costs more than the wait.
    std::chrono::milliseconds abandonedRequestTimeout{450};
    /// Time without enough parts after which it is checked whether this host reaches servers, and
    /// between two such checks.
    std::chrono::milliseconds contactCheckInterval{100};
    /// Maximum number of hosts that a request is forwarded to while this host reaches no server.
    std::size_t maxForwards = 3;
    /// The same while it reaches servers, but not enough of those that the request needs. Usually
    /// other hosts do not reach these either.
    std::size_t maxForwardsInContact = 2;
    /// Minimum time left for a request that is forwarded; covers the network latency to another
    /// region and back.
    std::chrono::milliseconds minForwardTime{40};
    /// Time for which the requests of a route are not forwarded after other hosts reached no
    /// servers for one of them either. Doubles each time.
    std::chrono::milliseconds firstForwardPause{500};
    /// Upper bound of that time.
    std::chrono::milliseconds longestForwardPause{4000};
    /// Maximum number of servers that are tried again while a request is forwarded.
    std::size_t trialsPerForward = 3;
    /// Minimum time between two forwarded requests with which servers are tried again.
    std::chrono::milliseconds trialInterval{250};
    /// Time in which a coordinator acknowledges a fan-out, in addition to the round trip. Covers a
    /// few scheduling delays of a busy host.
    std::chrono::milliseconds acknowledgementTime{50};
    /// Time for which a fan-out of another host may have waited before it was read. A host that
    /// falls further behind refuses it, and the other host carries it out.
    std::chrono::milliseconds maxDelegatedReadDelay{60};
    /// Maximum `Retry-After`, as a fraction of the caller's remaining time. Callers do not wait
    /// longer.
    double maxRetryAfterFraction = 0.33;
    /// Number of requests in progress from which further ones are refused. Bounds the memory usage
    /// of the host.
    std::size_t maxInProgress = 1500;

    bool operator==(const request_settings &) const = default;
};

/// Settings of a relay host. Together with the events they determine all of its decisions.
struct relay_settings
{
    host_id host;
    zone_id zone;
    /// Rate of the host's network link, in Mbit/s; 0 if it is not known.
    std::uint32_t linkMbps = 0;
    /// Maps availability zones to their regions.
    std::map<zone_id, std::string> regions;
    /// Whether evacuations of zones are read from the store.
    bool watchesEvacuations = false;
    request_settings requests;
    leaf_pool_settings leaves;
    /// Observations of servers that hosts share if `leaf_pool_settings::sharesObservations` is set.
    observation_exchange_settings observations{};
    /// Limit on hedges relative to the requests of the host.
    hedge_rate_limit_settings hedges;
    /// Switches of mechanisms.
    policy_settings policy;
    /// Detection of a host that reaches no server.
    server_contact_settings contact;
    /// Choice of the hosts that carry out fan-outs for others.
    coordinator_settings coordinators;
    /// Choice of the hosts that requests are forwarded to.
    forwarding_hosts_settings forwarding;
    /// Budget for hedges and retries.
    extra_request_budget_settings extras;
    /// Calls to the store.
    store_watcher_settings store;
    /// Selection of the hosts that call the store.
    store_roles_settings roles;
    /// Quarantine of requests that crash servers. Two answers to a caller may be lost by chance, so
    /// three crashes are required. A single loss is usually followed by the answer to a retry; a
    /// large fleet that tells every host of each would spend most of its time on it.
    quarantine_settings quarantine{.crashesToList = 3, .crashesToPublish = 2};
    /// Quotas of organisations.
    quota_settings quotas;
    /// Membership of the other relay hosts.
    membership_settings members;
    /// Minimum time between two changes of roles, budgets and connection limits to the known hosts.
    /// While a fleet starts, the known hosts change with every datagram.
    std::chrono::milliseconds membersApplyInterval{200};
    /// When a host that has started knows how many hosts there are: the number has not changed for
    /// a while, or changes for too long.
    settled_number_settings fleetSize{std::chrono::milliseconds(1000),
                                      std::chrono::milliseconds(3000)};
    /// Number of hosts that a host assumes before that, where too small a number does harm. The
    /// size of the largest fleets.
    std::size_t assumedHosts = 1000;
    /// Time after a stop request during which new requests are still accepted. The platform probes
    /// readiness once a second and stops sending requests after the second failed probe.
    std::chrono::milliseconds stopNotice{2400};
    /// Maximum additional time after `stopNotice` for requests in progress to end.
    std::chrono::milliseconds stopLimit{3200};
    /// Time before the exit in which the last answers are sent. Requests that servers have not
    /// answered by then fail.
    std::chrono::milliseconds lastAnswerTime{200};

    bool operator==(const relay_settings &) const = default;
};

} // namespace waxwing::relay
