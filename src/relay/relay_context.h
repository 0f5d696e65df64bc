#pragma once

#include "relay/extra_budget.h"
#include "relay/pending_request.h"
#include "relay/relay_effect.h"
#include "relay/relay_settings.h"
#include "relay/waiting_parts.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing::relay {

/// State of the requests in progress and of the servers that they use.
struct relay_requests
{
    relay_requests(const relay_settings &settings, zone_distances distances);

    /// The budget of a service, created if needed.
    extra_budget &budgetOf(const service_id &service);

    /// Time of an entry in `timers`, and the request that it is for.
    using timer = std::pair<time_point, std::uint64_t>;
    template<typename Entry>
    using earliest_first = std::priority_queue<Entry, std::vector<Entry>, std::greater<>>;

    /// Settings.
    const relay_settings &settings;
    /// Document in force; null before the first.
    std::shared_ptr<const route_document> document;
    /// Measured times by the name of the route.
    std::map<std::string, std::shared_ptr<route_pace>, std::less<>> routeStatistics;
    /// Servers.
    leaf_pool leaves;
    /// Hedges and retries by service.
    absl::flat_hash_map<service_id, extra_budget> budgets;
    /// Requests that crash servers.
    request_quarantine quarantine;
    /// Hosts that share connections and budgets.
    std::size_t hosts = 1;
    /// Requests in progress.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<pending_request>> running;
    /// Attempts in progress.
    absl::flat_hash_map<std::uint64_t, relay_attempt> attempts;
    /// Parts that wait for a server.
    waiting_parts waiting;
    /// When requests are looked at again. An entry is valid if it is that of its request.
    earliest_first<timer> timers;
    /// When attempts that are no longer needed are ended.
    earliest_first<timer> abandoned;
};

/// Entry of a part of the request in the queue of its service.
waiting_part queueEntry(const pending_request &request, std::size_t index);
/// Takes a part of the request out of the queue of its service if it waits there.
void removeFromQueue(relay_requests &state, const pending_request &request, std::size_t index);

/// What the parts of the reducer work with while one event is handled.
struct relay_context
{
    /// State.
    relay_requests &state;
    /// Time of the event.
    time_point now;
    /// Random engine of the state.
    random_engine &random;
    /// Last attempt number given out.
    std::uint64_t &lastAttempt;
    /// Effects so far.
    relay_effect_list &effects;

    /// Appends an effect.
    void emit(relay_effect action) const { effects.push_back(std::move(action)); }
    /// Adds one to a counter.
    void count(std::string_view name) const { emit(count_metric{std::string(name), 1}); }
};

} // namespace waxwing::relay
