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

/// Search and shard that an attempt belongs to.
struct attempt_owner
{
    /// Number of the search.
    std::uint64_t request = 0;
    /// Index of the shard; unused for forwarded searches.
    std::size_t shard = 0;
};

/// Attempt whose reply is no longer wanted but which still uses a connection.
struct abandoned_attempt
{
    /// Service that is searched.
    service_id service;
    /// Shard that is searched.
    shard_id shard;
    /// Identity of the request for the quarantine.
    std::uint64_t fingerprint = 0;
    /// The attempt.
    leaf_attempt attempt;
};

/// State of all searches. The hash maps are only used for look-ups.
struct query_state
{
    /// Limits.
    query_settings settings;
    /// Admission.
    admission_control admission;
    /// Searches by the number of their request.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<running_search>> searches;
    /// Owners of the attempts in progress.
    absl::flat_hash_map<std::uint64_t, attempt_owner> attempts;
    /// Attempts that nobody waits for.
    absl::flat_hash_map<std::uint64_t, abandoned_attempt> abandoned;
    /// Next time at which each search has something to do.
    std::set<std::pair<time_point, std::uint64_t>> timers;
    /// Latency and budgets of each service.
    std::map<service_id, service_pace> serviceStatistics;
    /// Snapshot of each service.
    snapshot_selection selection;
    /// Shards that wait for a free replica.
    shard_queue queue;
    /// Suspected requests in progress on each server.
    std::map<server_id, std::uint32_t> suspectAttemptsByServer;
    /// Attempts in progress of each suspected request.
    std::map<std::uint64_t, std::uint32_t> suspectAttemptsByRequest;
};

/// What handling one event works with. Lives as long as the event.
struct search_context
{
    /// Time, random numbers and effects.
    reduce_context &context;
    /// Other parts of the host.
    query_environment &environment;
    /// State of all searches.
    query_state &state;
};

} // namespace waxwing
