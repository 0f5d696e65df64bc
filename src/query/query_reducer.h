#pragma once

#include "admission/admission_control.h"
#include "events/event.h"
#include "events/reduce_context.h"
#include "query/query_environment.h"
#include "query/query_settings.h"

#include <memory>
#include <optional>

namespace waxwing {

/// Runs searches: snapshot choice, fan-out, hedges, retries, coverage and answer.
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
    /// Ends a search without an answer and cancels its attempts.
    void onCallerGone(reduce_context &context, query_environment &environment, request_id id);
    /// Handles the reply of a backend server. Returns false if the attempt is not its own.
    bool onLeafSearch(reduce_context &context, query_environment &environment,
                      const leaf_search_finished &finished);
    /// Handles the end of a forwarded search. Returns false if the attempt is not its own.
    bool onForwarded(reduce_context &context, query_environment &environment,
                     const forwarded_search_finished &finished);
    /// Handles hedges, waits and deadlines that are due.
    void onTick(reduce_context &context, query_environment &environment);
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;
    /// Searches that are not answered yet.
    std::size_t inProgress() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
