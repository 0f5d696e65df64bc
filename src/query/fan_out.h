#pragma once

#include "query/query_state.h"

#include <cstddef>

namespace waxwing {

/// How a failed attempt affects its search.
enum class failure_effect {
    /// The search continues.
    None,
    /// No replica of the shard holds the snapshot.
    SnapshotMissing,
    /// The request is suspected of crashing servers and must not be retried.
    Suspected,
};

/// Sends the backend requests of one search: the canary, the other shards, hedges and retries.
class fan_out
{
public:
    fan_out(search_context &work, running_search &search);

    /// Starts on a snapshot. Attempts on a previous snapshot must have been abandoned.
    void begin(const partitioning &parts, const snapshot &at);
    /// Sends all pending shards, or only the canary shard while the others wait for it.
    void sendPendingShards();
    /// Sends the shard at `index`, which must be first in its queue. Returns whether it left the
    /// queue.
    bool sendQueued(std::size_t index);
    /// Merges a reply for the shard at `index` and abandons its other attempts.
    void onAnswer(std::size_t index, const leaf_attempt &attempt, const leaf_answer &answer);
    /// Handles a failed attempt for the shard at `index` and retries it if possible.
    failure_effect onFailure(std::size_t index, const leaf_attempt &attempt,
                             const leaf_failure &failure);
    void sendDueHedges();
    /// Ends the canary phase and sends the other shards.
    void releaseCanary();
    /// Marks the shard at `index` as failed and sends the pending shards.
    void failShard(std::size_t index);
    /// Cancels all attempts and removes the shards from the queue.
    void abandonAll();
    /// Request to a backend server for the shard at `index`.
    leaf_search leafRequest(std::size_t index) const;

private:
    void sendShard(std::size_t index);
    std::optional<server_id> chooseServer(std::size_t index);
    std::optional<server_id> choose(std::size_t index,
                                    const std::vector<server_id> &excluded) const;
    bool wouldMissDeadline() const;
    bool mustWait(std::size_t index) const;
    void enqueueShard(std::size_t index);
    void dequeueShard(std::size_t index);
    void creditBudgets();
    shard_queue::key queueKey(std::size_t index) const;
    void send(std::size_t index, const server_id &server);
    void markFailed(std::size_t index);
    void abandon(std::size_t index, bool superseded);
    failure_effect tryNextCanary(std::size_t index, leaf_error error);
    bool needsNextCanary(std::size_t index, leaf_error error) const;
    /// Delay before the next canary after a failed one, so that crash reports of other hosts can
    /// arrive.
    duration canaryPause() const;
    failure_effect onReplicasExhausted(std::size_t index, bool notHeld);
    void hedge(std::size_t index);
    bool withdrawForHedge(shard_progress &progress);
    duration hedgeDelay() const;
    bool mayRetryLater(std::size_t index) const;

    search_context &m_work;
    running_search &m_search;
    std::size_t m_shardsSent = 0;
};

} // namespace waxwing
