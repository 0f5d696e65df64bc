#pragma once

#include "entry/entry_parts.h"
#include "events/event.h"
#include "events/reduce_context.h"

namespace waxwing {

/// Hands an event to the parts that it concerns. Lives as long as the event.
class entry_dispatch
{
public:
    /// Works on `parts` with `context`.
    entry_dispatch(entry_state::parts &parts, reduce_context &context);

    /// Handles what is due.
    void operator()(const tick &due);
    /// Starts every part.
    void operator()(const started &start);
    /// Begins the graceful stop.
    void operator()(const stop_requested &request);
    /// Starts a search.
    void operator()(const search_received &received);
    /// Starts a command.
    void operator()(const command_received &received);
    /// Forgets a caller.
    void operator()(const caller_gone &gone);
    /// Passes on the end of a search on a backend server.
    void operator()(const leaf_search_finished &finished);
    /// Passes on the end of a command on a backend server.
    void operator()(const leaf_command_finished &finished);
    /// Passes on what a backend server reports.
    void operator()(const leaf_health_reported &reported);
    /// Passes on the end of a forwarded search.
    void operator()(const forwarded_search_finished &finished);
    /// Passes on the end of a forwarded command.
    void operator()(const forwarded_command_finished &finished);
    /// Passes on the end of a platform call.
    void operator()(const platform_finished &finished);
    /// Passes on a datagram.
    void operator()(const datagram_received &received);
    /// Passes on the state of a peer.
    void operator()(const peer_state_fetched &fetched);

private:
    entry_state::parts &m_parts;
    reduce_context &m_context;
};

} // namespace waxwing
