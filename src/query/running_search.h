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

/// One request to a backend server that has not ended.
struct leaf_attempt
{
    /// Number.
    attempt_id id;
    /// Backend server.
    server_id server;
    /// When it was sent.
    time_point sent;
    /// Trace with the span of the attempt.
    trace_context trace;
    /// Whether the request was suspected of a crash when it was sent.
    bool suspect = false;
};

/// Progress of one shard of a search.
struct shard_progress
{
    /// What happens to the shard.
    enum class status_kind {
        /// Waits for the canary shard or for a free replica.
        Pending,
        /// At least one attempt is in progress.
        InProgress,
        /// A reply is merged.
        Answered,
        /// No replica is left that could answer.
        Failed,
    };

    /// What happens.
    status_kind status = status_kind::Pending;
    /// Attempts in progress.
    std::vector<leaf_attempt> attempts;
    /// Servers that got an attempt.
    std::vector<server_id> tried;
    /// When another replica is asked too.
    time_point hedgeAt;
    /// Times that this was considered.
    std::uint32_t hedgesConsidered = 0;
    /// Whether one hedge or retry is already paid for.
    bool hasPrepaidAttempt = false;
    /// Whether the shard waits in the queue for a free replica.
    bool queued = false;
};

/// First shard of a request that is not known to be good; the others wait for it.
struct canary_progress
{
    /// Position in the order of servers that every host has for the request.
    std::size_t shardOffset = 0;
    /// Index of the shard.
    std::size_t shard = 0;
    /// When the shard is sent at the earliest. After a failure the facts of other hosts are waited
    /// for first.
    time_point notBefore;
    /// When the others stop waiting.
    time_point waitDeadline;
    /// Zone that the server is not taken from if there is another: that of the first step.
    std::optional<zone_id> avoidedZone;
};

/// Search that was passed to other entry hosts.
struct forward_progress
{
    /// Attempts in progress.
    std::vector<attempt_id> attempts;
    /// Hosts that got an attempt.
    std::vector<host_id> tried;
    /// When another holder is asked too; empty after that.
    std::optional<time_point> hedgeAt;
    /// Whether a host may have run the search.
    bool mayHaveRun = false;
};

/// Search that is not answered yet.
struct running_search
{
    /// Number of the request.
    request_id id;
    /// The search.
    search_request request;
    /// When it arrived.
    time_point started;
    /// When it is answered at the latest.
    time_point deadline;
    /// Span of the search.
    trace_context trace;
    /// Configuration that it started with.
    std::shared_ptr<const configuration> document;
    /// Service in `document`.
    const service *target = nullptr;
    /// Budgets and latency of the service.
    service_request_state *requestState = nullptr;
    /// Identity for the quarantine.
    std::uint64_t fingerprint = 0;

    /// Partitioning in `document`; null until the fan-out begins.
    const partitioning *parts = nullptr;
    /// Snapshot of every used reply.
    snapshot at;
    /// Shards, as in `parts`.
    std::vector<shard_progress> shards;
    /// Used replies.
    std::optional<answer_merge> merge;
    /// Shards that are neither answered nor lost.
    std::size_t unfinishedShards = 0;
    /// Whether the search began again on another snapshot.
    bool restarted = false;
    /// Whether a backend server may have run a part of it.
    bool mayHaveRun = false;
    /// Set while the other shards wait for the first one.
    std::optional<canary_progress> canary;
    /// When shards without a free replica are tried again.
    std::optional<time_point> nextSendAt;
    /// Earliest hedge that may be due.
    std::optional<time_point> nextHedgeAt;
    /// Latest `hedgeAt` of a shard.
    time_point lastHedgeAt;
    /// When an answer with the wanted coverage is given without the remaining shards.
    std::optional<time_point> earlyAnswerAt;

    /// Set if other hosts run the search.
    std::optional<forward_progress> forward;

    /// Time of the entry in the timers of the state.
    std::optional<time_point> timer;
};

} // namespace waxwing
