#pragma once

#include "core/refusal.h"
#include "query/query_state.h"

namespace waxwing {

/// Ends searches. Each public function removes the search from the state and destroys it, so that
/// references to it are invalid afterwards.
class search_ending
{
public:
    /// Sends the merged replies as a complete or partial answer. Refuses the search if no shard was
    /// answered.
    static void answerOrRefuse(search_context &work, running_search &search);
    /// Sends an outcome, such as that of another host, to the caller.
    static void sendOutcome(search_context &work, running_search &search,
                            const search_outcome &outcome);
    /// Refuses the search. `NotRun` is replaced by `OutcomeUnknown` if a backend server may have
    /// run a part of it.
    static void refuse(search_context &work, running_search &search, const refusal &reason);
    /// Cancels the search without sending an answer.
    static void cancel(search_context &work, running_search &search);

private:
    /// Abandons the attempts in progress and returns whether any attempt may have been run.
    static execution_state abandonAttempts(search_context &work, running_search &search);
    /// Records the span, releases the admission and erases the search. Only the latency of
    /// answered searches is reported to admission control.
    static void remove(search_context &work, running_search &search, bool answered);
};

} // namespace waxwing
