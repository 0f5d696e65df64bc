#pragma once

#include "query/query_state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace waxwing {

/// Sends a request that is not known to be good to one shard first, whose reply shows that the
/// request does not crash servers. All hosts choose the same servers for a request, so that copies
/// that reach several hosts at the same time crash only one server.
class canary_policy
{
public:
    /// Decides whether the search needs a canary, and chooses its shard.
    static void begin(search_context &work, running_search &search);
    /// Server for the canary shard; empty if no server may receive the request now.
    static std::optional<server_id> chooseServer(const search_context &work,
                                                 const running_search &search);
    /// Moves the canary to the next unfinished shard, which is not sent before `notBefore`. Returns
    /// false if there is none.
    static bool moveToNextShard(search_context &work, running_search &search, time_point notBefore);

private:
    /// Skips shards whose replicas are all ejected.
    static void skipUnreachable(const search_context &work, running_search &search);
    static std::optional<zone_id> firstReplicaZone(const search_context &work,
                                                   const running_search &search);
    static time_point computeWaitDeadline(const search_context &work, const running_search &search);
};

} // namespace waxwing
