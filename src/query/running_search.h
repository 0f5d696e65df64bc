#pragma once

#include "configuration/configuration.h"
#include "core/clock.h"
#include "core/trace_context.h"
#include "query/answer_merge.h"
#include "query/search_types.h"
#include "query/service_request_state.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/// Request to a backend server that is in progress.
struct leaf_attempt
{
    attempt_id id;
    server_id server;
    time_point sent;
    /// Trace context with the span of the attempt.
    trace_context trace;
    /// Whether the request was suspected of crashing servers when it was sent.
    bool suspect = false;
};

/// Progress of one shard of a search.
struct shard_progress
{
    enum class status_kind {
        /// Waits for the canary shard or for a free replica.
        Pending,
        /// At least one attempt is in progress.
        InProgress,
        /// A reply was merged.
        Answered,
        /// No replica, retry budget or time is left.
        Failed,
    };

    status_kind status = status_kind::Pending;
    /// Attempts in progress.
    std::vector<leaf_attempt> attempts;
    /// Servers that were sent an attempt.
    std::vector<server_id> tried;
    /// When the next hedge is due.
    time_point hedgeAt;
    /// Hedges that became due, whether they were sent or not.
    std::uint32_t hedgesConsidered = 0;
    /// Whether one hedge or retry is already charged to the budget.
    bool hasPrepaidAttempt = false;
    /// Whether the shard is in `query_state::queue`.
    bool queued = false;
};

/// Canary shard of a request that is not known to be good; the other shards wait for its reply.
struct canary_progress
{
    /// Position in the request's order of shards, which is the same on every host.
    std::size_t shardOffset = 0;
    /// Index of the canary shard.
    std::size_t shard = 0;
    /// Earliest time at which the shard is sent. After a failure, crash reports of other hosts are
    /// awaited first.
    time_point notBefore;
    /// When the other shards stop waiting.
    time_point waitDeadline;
    /// Zone whose servers are used only if no other is available: that of the first replica tried.
    std::optional<zone_id> avoidedZone;
};

/// Search that was forwarded to other entry hosts.
struct forward_progress
{
    /// Attempts in progress.
    std::vector<attempt_id> attempts;
    /// Hosts that were sent an attempt.
    std::vector<host_id> tried;
    /// When the search is also sent to another holder; empty after that.
    std::optional<time_point> hedgeAt;
    /// Whether a host may have run the search.
    bool mayHaveRun = false;
};

/// Search that is not answered yet.
struct running_search
{
    request_id id;
    search_request request;
    /// When the request arrived.
    time_point started;
    /// Time by which the search must be answered.
    time_point deadline;
    /// Trace context with the span of the search.
    trace_context trace;
    /// Configuration at the start of the search; used until the search ends.
    std::shared_ptr<const configuration> document;
    /// Service in `document`.
    const service *target = nullptr;
    /// Latency and budgets of the service; owned by `query_state`.
    service_request_state *requestState = nullptr;
    /// Identity of the request for the quarantine.
    std::uint64_t fingerprint = 0;

    /// Partitioning in `document`; null until the fan-out begins.
    const partitioning *parts = nullptr;
    /// Snapshot of all merged replies.
    snapshot at;
    /// Progress of each shard, in the order of `parts`.
    std::vector<shard_progress> shards;
    /// Merged replies; set when the fan-out begins.
    std::optional<answer_merge> merge;
    /// Shards that are neither answered nor failed.
    std::size_t unfinishedShards = 0;
    /// Whether the search was restarted on another snapshot. It is restarted at most once.
    bool restarted = false;
    /// Whether a backend server may have executed a part of the search.
    bool mayHaveRun = false;
    /// Set while the other shards wait for the canary shard.
    std::optional<canary_progress> canary;
    /// When pending shards are tried again.
    std::optional<time_point> nextSendAt;
    /// Earliest time at which a hedge may be due.
    std::optional<time_point> nextHedgeAt;
    /// Latest `hedgeAt` of a shard.
    time_point lastHedgeAt;
    /// When an answer with the wanted coverage is sent without the remaining shards.
    std::optional<time_point> earlyAnswerAt;

    /// Set if the search was forwarded to other hosts.
    std::optional<forward_progress> forward;

    /// Time of the entry in `query_state::timers`.
    std::optional<time_point> timer;
};

} // namespace waxwing
