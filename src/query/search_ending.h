#pragma once

#include "core/refusal.h"
#include "query/query_state.h"

namespace waxwing {

/// Ends of a search. Each removes the search from the state; it must not be used afterwards.
class search_ending
{
public:
    /// Answers with what there is, or refuses if there is nothing.
    static void conclude(search_work &work, running_search &search);
    /// Passes on the answer of another host.
    static void passOn(search_work &work, running_search &search, const search_outcome &outcome);
    /// Refuses. The refusal says "not run" only if nothing was.
    static void refuse(search_work &work, running_search &search, const refusal &reason);
    /// Forgets the search without an answer.
    static void drop(search_work &work, running_search &search);

private:
    static execution_state stopAll(search_work &work, running_search &search);
    static void remove(search_work &work, running_search &search, bool answered);
};

} // namespace waxwing
