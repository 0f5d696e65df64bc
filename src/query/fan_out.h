#pragma once

#include "query/query_state.h"

#include <cstddef>

namespace waxwing {

/// What a failed attempt means for its search.
enum class failure_effect {
    /// The search goes on.
    None,
    /// A shard does not hold the snapshot on any replica.
    SnapshotMissing,
    /// The request is suspected of a crash and may not be tried again.
    Suspected,
};

/// Requests to backend servers for one search: first wave, the rest, hedges and retries.
class fan_out
{
public:
    fan_out(search_context &work, running_search &search);

    /// Begins on a snapshot. Attempts of an earlier one have been abandoned.
    void begin(const partitioning &parts, const snapshot &at);
    /// Sends the shards that wait for a replica, or only the canary shard.
    void sendUnsent();
    /// Sends the shard at `index`, which is the first in its queue. Returns whether it left the
    /// queue.
    bool sendQueued(std::size_t index);
    /// Takes a reply of the shard at `index`.
    void onAnswer(std::size_t index, const leaf_attempt &attempt, const leaf_answer &answer);
    /// Takes a failure of the shard at `index`.
    failure_effect onFailure(std::size_t index, const leaf_attempt &attempt,
                             const leaf_failure &failure);
    /// Sends the hedges that are due.
    void sendDueHedges();
    /// Lets the other shards go without the canary shard's reply.
    void releaseCanary();
    /// Gives up the shard at `index`.
    void loseShard(std::size_t index);
    /// Cancels everything in progress.
    void abandonAll();
    /// What the shard at `index` is asked.
    leaf_search question(std::size_t index) const;

private:
    void sendShard(std::size_t index);
    std::optional<server_id> chooseServer(std::size_t index);
    std::optional<server_id> choose(std::size_t index,
                                    const std::vector<server_id> &excluded) const;
    bool isTooLate() const;
    bool mustQueue(std::size_t index) const;
    void joinQueue(std::size_t index);
    void leaveQueue(std::size_t index);
    void accountSent();
    shard_queue::key queueKey(std::size_t index) const;
    void send(std::size_t index, const server_id &server);
    void lose(std::size_t index);
    void abandon(std::size_t index, bool outpaced);
    failure_effect tryNextCanary(std::size_t index, leaf_error error);
    bool needsNextCanary(std::size_t index, leaf_error error) const;
    /// Time before the next canary after a failed one, in which other hosts can tell of crashes.
    duration canaryPause() const;
    failure_effect onNoReplica(std::size_t index, bool notHeld);
    void hedge(std::size_t index);
    bool payForHedge(shard_progress &progress);
    duration hedgeDelay() const;
    bool mayChooseLater(std::size_t index) const;

    search_context &m_work;
    running_search &m_search;
    std::size_t m_sent = 0;
};

} // namespace waxwing
