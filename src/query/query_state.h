#pragma once

#include "admission/admission_control.h"
#include "events/reduce_context.h"
#include "query/query_environment.h"
#include "query/query_settings.h"
#include "query/running_search.h"
#include "query/shard_queue.h"
#include "query/snapshot_selection.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <set>
#include <utility>

namespace waxwing {

/// Maps an attempt to its search and shard.
struct attempt_owner
{
    /// Id of the search.
    std::uint64_t request = 0;
    /// Index of the shard; unused for forwarded searches.
    std::size_t shard = 0;
};

/// Attempt whose reply is no longer needed but that still occupies a connection.
struct abandoned_attempt
{
    service_id service;
    shard_id shard;
    /// Fingerprint of the request, by which the quarantine identifies it.
    std::uint64_t fingerprint = 0;
    leaf_attempt attempt;
};

/// State of all searches. The hash maps are used only for look-ups: iterating over them would make
/// replays depend on their order.
struct query_state
{
    query_settings settings;
    admission_control admission;
    /// Searches in progress by request id.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<running_search>> searches;
    /// Owners of the attempts in progress by attempt id.
    absl::flat_hash_map<std::uint64_t, attempt_owner> attempts;
    /// Abandoned attempts by attempt id, until their replies or failures arrive.
    absl::flat_hash_map<std::uint64_t, abandoned_attempt> abandoned;
    /// Next timer of each search with its request id, earliest first.
    std::set<std::pair<time_point, std::uint64_t>> timers;
    /// Latency quantiles and the hedge and retry budgets of each service.
    std::map<service_id, service_request_state> serviceStatistics;
    /// Chooses the snapshot that searches of a service use.
    snapshot_selection selection;
    /// Shards that wait for a free replica.
    shard_queue queue;
    /// Number of attempts of suspected requests in progress on each server.
    std::map<server_id, std::uint32_t> suspectAttemptsByServer;
    /// Number of attempts in progress of each suspected request, by its fingerprint.
    std::map<std::uint64_t, std::uint32_t> suspectAttemptsByRequest;
};

/// State that is available while one event is handled. Valid only during that event.
struct search_context
{
    /// Current time, random numbers and the effects to carry out.
    reduce_context &context;
    /// State of other components of the host.
    query_environment &environment;
    query_state &state;
};

} // namespace waxwing
