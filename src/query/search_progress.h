#pragma once

#include "events/event.h"
#include "query/fan_out.h"
#include "query/query_state.h"

namespace waxwing {

/// Steps of a search on this host, from the choice of its snapshot to its answer.
class search_progress
{
public:
    /// Chooses the snapshot and begins the fan-out; ends the search if it cannot.
    static void start(search_context &work, running_search &search);
    /// Takes the end of an attempt of the shard at `index`.
    static void onAttemptEnd(search_context &work, running_search &search, std::size_t index,
                             const leaf_search_finished &finished);
    /// Takes the end of an attempt that nobody waits for.
    static void onAbandonedAttemptEnd(search_context &work, const abandoned_attempt &abandoned,
                                      const leaf_outcome &outcome);
    /// Sends the next shards that wait for a replica of `shard`.
    static void sendQueuedShards(search_context &work, const shard_queue::key &shard);
    /// Does what is due.
    static void onDue(search_context &work, running_search &search);
    /// Ends the search if it is complete, otherwise sets its timer.
    static void completeOrSchedule(search_context &work, running_search &search);
    /// Sets the time at which the search has something to do.
    static void setTimer(search_context &work, running_search &search);

private:
    static const partitioning *findPartitioning(const running_search &search,
                                                std::uint32_t generation);
    static bool isCursorExpired(const search_context &work, const running_search &search);
    static bool restart(search_context &work, running_search &search, std::size_t index);
    static bool onFailureEffect(search_context &work, running_search &search, std::size_t index,
                                failure_effect consequence);
    static bool isEarlyAnswerDue(const search_context &work, running_search &search);
    static void releaseSuspect(search_context &work, const leaf_attempt &attempt,
                               std::uint64_t fingerprint);
    static bool refuseIfQuarantined(search_context &work, running_search &search);
    static bool onCanaryDue(search_context &work, running_search &search);
};

} // namespace waxwing
