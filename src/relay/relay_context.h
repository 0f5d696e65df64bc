#pragma once

#include "coordinators/coordinator_directory.h"
#include "placement/placement.h"
#include "relay/extra_request_budget.h"
#include "relay/hedge_rate_limit.h"
#include "relay/pending_request.h"
#include "relay/relay_effect.h"
#include "relay/relay_settings.h"
#include "relay/waiting_part_queue.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing::relay {

/// State of the requests in progress and of the backend servers.
struct relay_requests
{
    relay_requests(const relay_settings &settings, zone_latencies zoneLatencies);

    /// Number of hosts among which the extra requests for the service are divided equally, seen
    /// from this host.
    std::size_t budgetHosts(const service_id &service) const;
    /// Returns the hedge and retry budget of a service; creates it on first use.
    extra_request_budget &budgetOf(const service_id &service);
    /// Zones that may receive the request, by the routes in force when it arrived and the zones
    /// evacuated now.
    placement placementOf(const pending_request &request) const;
    /// Returns the next waiting part of the service. Skips parts whose placement is in `full`.
    std::optional<waiting_part> nextWaiting(const service_id &service,
                                            const std::vector<placement> &full) const;
    /// Number of waiting parts that are served before a new part of the request, on servers that
    /// the request may use too.
    std::size_t countAhead(const pending_request &request, const service_id &service) const;
    /// Services with waiting parts.
    std::set<service_id> waitingServices() const;
    /// Schedules the next attempt to send waiting parts of the service if one of its servers waits
    /// for its turn. Other servers are tried when a request to the service ends.
    void scheduleTurn(const service_id &service, time_point now);

    /// Time, and the number of the request or attempt.
    using timer = std::pair<time_point, std::uint64_t>;
    template<typename Entry>
    using earliest_first = std::priority_queue<Entry, std::vector<Entry>, std::greater<>>;

    /// Owned by `relay_state::parts`.
    const relay_settings &settings;
    /// Routes in force; null until the first document is applied.
    std::shared_ptr<const route_document> document;
    /// Latencies measured on each route, by the name of the route.
    std::map<std::string, std::shared_ptr<route_statistics>, std::less<>> routeStatistics;
    /// Never null; replaced when evacuations change.
    std::shared_ptr<const zone_directory> zones;
    leaf_pool leaves;
    server_contact contact;
    forwarding_hosts helpers;
    /// Hosts that carry out the fan-outs of others.
    coordinator_directory coordinators;
    /// Hedge and retry budgets by service.
    absl::flat_hash_map<service_id, extra_request_budget> budgets;
    /// Limit on the hedges to all services.
    hedge_rate_limit hedgeRate;
    /// Requests that are refused because they crashed backend servers.
    request_quarantine quarantine;
    /// Number of hosts that connection limits and budgets are divided among.
    std::size_t hosts = 1;
    /// Division of the servers of fan-outs; empty if all hosts share them equally.
    std::optional<coordinator_share> fanOutShare;
    /// Services that return parts of fan-outs, by the routes in force.
    std::set<service_id> fanOutServices;
    /// Requests in progress, by the value of their id.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<pending_request>> inProgress;
    /// When servers may be tried again with a copy of a forwarded request.
    time_point nextTrialAt{};
    /// Requests by the attempt with which another host works on them.
    absl::flat_hash_map<std::uint64_t, request_id> forwards;
    /// Attempts in progress, by the value of their id.
    absl::flat_hash_map<std::uint64_t, relay_attempt> attempts;
    waiting_part_queue waiting;
    /// Timers of requests. An entry is valid only if its time equals `pending_request::timerAt`.
    earliest_first<timer> timers;
    /// When waiting parts of a service are tried again. An entry is valid only if its time equals
    /// that in `nextTurns`.
    earliest_first<std::pair<time_point, service_id>> turns;
    absl::flat_hash_map<service_id, time_point> nextTurns;
    /// When attempts whose request was answered without them are cancelled.
    earliest_first<timer> abandoned;
};

/// Returns whose share of the capacity the parts of the request count towards.
waiting_customer waitingCustomer(const pending_request &request);
/// Returns the entry for a part of the request in the queue of its service.
waiting_part queueEntry(const pending_request &request, std::size_t index);
/// Removes a part of the request from the queue of its service. Does nothing unless the part is in
/// step `Waiting`.
void removeFromQueue(relay_requests &state, const pending_request &request, std::size_t index);

/// Like `removeFromQueue`, for a part that is sent.
void serveFromQueue(relay_requests &state, const pending_request &request, std::size_t index);

/// State and outputs available while one event is handled. Lives as long as the event.
struct relay_context
{
    relay_requests &state;
    /// Time of the event.
    time_point now;
    random_engine &random;
    /// Number of the latest attempt; incremented for each attempt.
    std::uint64_t &lastAttempt;
    const membership &members;
    /// Effects of the event, in order.
    relay_effect_list &effects;

    void emit(relay_effect action) const { effects.push_back(std::move(action)); }
    /// Increments the counter `name`.
    void count(std::string_view name) const { emit(count_metric{std::string(name), 1}); }
};

} // namespace waxwing::relay
