#pragma once

#include "events/event.h"
#include "query/query_state.h"

namespace waxwing {

/// Passes whole searches to holders of their service: a holder of this zone first, another one
/// when that fails or does not answer within half of the time.
class search_forwarding
{
public:
    /// Passes the search on. Returns false if it was ended because there is no holder.
    static bool start(search_context &work, running_search &search);
    /// Takes the end of a forwarded search. Returns false if the search ended.
    static bool onFinished(search_context &work, running_search &search,
                           const forwarded_search_finished &finished);
    /// Asks a second holder if the first one takes long.
    static void onDue(search_context &work, running_search &search);

private:
    static const member *chooseHolder(search_context &work, const running_search &search);
    static bool sendNext(search_context &work, running_search &search);
    static bool isUsable(const running_search &search, const search_outcome &outcome);
};

} // namespace waxwing
