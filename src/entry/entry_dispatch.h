#pragma once

#include "entry/entry_parts.h"
#include "events/event.h"
#include "events/reduce_context.h"

namespace waxwing {
/// Visitor that passes an event to the parts of the state that handle it. Created for each event.
class entry_dispatch
{
public:
    /// `parts` and `context` must outlive the visitor.
    entry_dispatch(entry_state::parts &parts, reduce_context &context);

    /// Runs all work that is due. Ignored before `started`.
    void operator()(const tick &due);
    /// Seeds the random engine and starts the parts.
    void operator()(const started &start);
    void operator()(const stop_requested &request);
    void operator()(const search_received &received);
    void operator()(const command_received &received);
    /// Handles a caller that disconnected.
    void operator()(const caller_gone &gone);
    void operator()(const leaf_search_finished &finished);
    void operator()(const leaf_command_finished &finished);
    void operator()(const leaf_health_reported &reported);
    void operator()(const forwarded_search_finished &finished);
    void operator()(const forwarded_command_finished &finished);
    void operator()(const platform_finished &finished);
    void operator()(const datagram_received &received);
    void operator()(const peer_state_fetched &fetched);

private:
    entry_state::parts &m_parts;
    reduce_context &m_context;
};

} // namespace waxwing
