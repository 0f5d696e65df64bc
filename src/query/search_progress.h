#pragma once

#include "events/event.h"
#include "query/fan_out.h"
#include "query/query_state.h"

namespace waxwing {

/// Runs a search on this host, from the choice of its snapshot to its answer.
class search_progress
{
public:
    /// Chooses the snapshot and begins the fan-out. Ends the search if no snapshot is available.
    static void start(search_context &work, running_search &search);
    /// Handles the reply or failure of an attempt for the shard at `index`.
    static void onAttemptEnd(search_context &work, running_search &search, std::size_t index,
                             const leaf_search_finished &finished);
    /// Reports the end of an abandoned attempt to the backend pool and the quarantine.
    static void onAbandonedAttemptEnd(search_context &work, const abandoned_attempt &abandoned,
                                      const leaf_outcome &outcome);
    /// Sends the searches queued for a replica of `shard`, until no replica is free.
    static void sendQueuedShards(search_context &work, const shard_queue::key &shard);
    /// Handles the timer of the search: its deadline, canary, queued shards and hedges.
    static void onDue(search_context &work, running_search &search);
    /// Ends the search if every shard is decided or an answer is due; otherwise sets its timer.
    static void completeOrSchedule(search_context &work, running_search &search);
    /// Sets the timer of the search to the earliest time at which it has to act.
    static void setTimer(search_context &work, running_search &search);

private:
    static const partitioning *findPartitioning(const running_search &search,
                                                std::uint32_t generation);
    static bool isCursorExpired(const search_context &work, const running_search &search);
    /// Restarts the fan-out on another snapshot after the shard at `index` refused the present one.
    /// Restarts once per search, and only if the median latency ends before the deadline. Returns
    /// false if the search was not restarted.
    static bool restart(search_context &work, running_search &search, std::size_t index);
    /// Returns false if the search ended.
    static bool onFailureEffect(search_context &work, running_search &search, std::size_t index,
                                failure_effect consequence);
    /// Whether the policy allows an answer without the remaining shards now. Sets `earlyAnswerAt`
    /// once the wanted coverage is reached.
    static bool isEarlyAnswerDue(const search_context &work, running_search &search);
    /// Removes an ended attempt from the counts of suspected attempts.
    static void releaseSuspect(search_context &work, const leaf_attempt &attempt,
                               std::uint64_t fingerprint);
    /// Refuses a search that still waits for its canary when its request enters the quarantine.
    /// Returns whether the search ended.
    static bool refuseIfQuarantined(search_context &work, running_search &search);
    /// Ends the wait for the canary shard. Refuses suspected requests; returns false if the search
    /// ended.
    static bool onCanaryDue(search_context &work, running_search &search);
};

} // namespace waxwing
