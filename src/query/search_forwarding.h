#pragma once

#include "events/event.h"
#include "query/query_state.h"

namespace waxwing {

/// Forwards searches to holders of their service. Holders in the zone of this host are preferred.
/// Another holder receives the search after a failure, or when half of the time left has passed.
class search_forwarding
{
public:
    /// Forwards the search. Returns false if the search was refused because no holder is available.
    static bool start(search_context &work, running_search &search);
    /// Handles the outcome of a forwarding attempt. Returns false if the search ended.
    static bool onFinished(search_context &work, running_search &search,
                           const forwarded_search_finished &finished);
    /// Forwards the search to a second holder when its hedge is due.
    static void onDue(search_context &work, running_search &search);

private:
    /// Chooses a random untried holder that is alive or suspected, in this zone if there is one.
    /// Null if none is left.
    static const member *chooseHolder(search_context &work, const running_search &search);
    /// Returns false if no time or no holder is left.
    static bool sendNext(search_context &work, running_search &search);
    /// Whether the outcome is valid for the request and can be sent to the caller.
    static bool isUsable(const running_search &search, const search_outcome &outcome);
};

} // namespace waxwing
