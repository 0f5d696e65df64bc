#pragma once

#include "core/refusal.h"
#include "query/query_state.h"

namespace waxwing {

/// Ends of a search. Each removes the search from the state; it must not be used afterwards.
class search_completion
{
public:
    /// Answers with what there is, or refuses if there is nothing.
    static void answerOrRefuse(search_context &work, running_search &search);
    /// Passes on the answer of another host.
    static void sendOutcome(search_context &work, running_search &search,
                            const search_outcome &outcome);
    /// Refuses. The refusal says "not run" only if nothing was.
    static void refuse(search_context &work, running_search &search, const refusal &reason);
    /// Forgets the search without an answer.
    static void cancel(search_context &work, running_search &search);

private:
    static execution_state abandonAttempts(search_context &work, running_search &search);
    static void remove(search_context &work, running_search &search, bool answered);
};

} // namespace waxwing
