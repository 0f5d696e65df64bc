#pragma once

#include "query/query_state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace waxwing {

/// First wave of a request that is not known to be good: one shard, whose reply shows that the
/// request does not crash servers. All hosts choose the same servers for a request, so that copies
/// that arrive at several hosts together crash the same server.
class canary_policy
{
public:
    /// Decides whether the search needs a canary shard, and which.
    static void begin(search_context &work, running_search &search);
    /// Server for the canary shard; empty if none may get the request now.
    static std::optional<server_id> chooseServer(const search_context &work,
                                                 const running_search &search);
    /// Moves the canary to the next shard that can still be sent, not before `notBefore`. Returns
    /// false if there is none.
    static bool moveOn(search_context &work, running_search &search, time_point notBefore);

private:
    /// Steps over shards none of whose replicas answers.
    static void skipUnreachable(const search_context &work, running_search &search);
    static std::optional<zone_id> firstZone(const search_context &work,
                                            const running_search &search);
    static time_point waitEnd(const search_context &work, const running_search &search);
};

} // namespace waxwing
