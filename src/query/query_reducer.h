#pragma once

#include "admission/admission_control.h"
#include "events/event.h"
#include "events/reduce_context.h"
#include "query/query_environment.h"
#include "query/query_settings.h"

#include <memory>
#include <optional>

namespace waxwing {

/// Runs searches: selects the snapshot, sends the leaf searches with hedges and retries, and merges
/// the replies into an answer that states its coverage.
class query_reducer
{
public:
    query_reducer(query_settings settings, admission_settings admission);
    query_reducer(query_reducer &&) noexcept;
    query_reducer &operator=(query_reducer &&) noexcept;
    ~query_reducer();

    /// Handles a search from a caller or a peer.
    void onSearch(reduce_context &context, query_environment &environment,
                  const search_received &received);
    /// Cancels the search of a disconnected caller and its attempts. No answer is sent.
    void onCallerGone(reduce_context &context, query_environment &environment, request_id id);
    /// Handles the reply or failure of a leaf search. Returns false if the attempt does not belong
    /// to a search of this reducer.
    bool onLeafSearch(reduce_context &context, query_environment &environment,
                      const leaf_search_finished &finished);
    /// Handles the outcome of a forwarded search. Returns false if the attempt does not belong to a
    /// search of this reducer.
    bool onForwarded(reduce_context &context, query_environment &environment,
                     const forwarded_search_finished &finished);
    /// Handles all searches whose hedge, wait or deadline is due.
    void onTick(reduce_context &context, query_environment &environment);
    /// Time at which `onTick` is next due; empty if no search is in progress.
    std::optional<time_point> nextDeadline() const;
    /// Number of searches in progress.
    std::size_t inProgress() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
