#pragma once

#include "entry/event_sink.h"
#include "entry/outgoing_http.h"
#include "events/effect.h"
#include "telemetry/metrics_registry.h"

#include <string>

namespace waxwing {
/// Sends searches, commands and health polls to backend servers and posts their results as events.
class backend_client
{
public:
    /// Request ids have the form `host-incarnation-attempt`. `connections` and `metrics` must
    /// outlive the client, and `connections` must not run a callback after the client is destroyed.
    backend_client(outgoing_http &connections, metrics_registry &metrics, const host_id &host,
                   std::uint64_t incarnation, event_sink onEvent);

    /// Posts `leaf_search_finished` when the search ends.
    void carryOut(const send_leaf_search &action);
    /// Posts `leaf_command_finished` when the command ends.
    void carryOut(const send_leaf_command &action);
    /// Sends the cancellation. The search still ends with its own reply.
    void carryOut(const cancel_leaf_search &action);
    /// Posts `leaf_health_reported` if the server returns a valid report; otherwise counts a
    /// failure.
    void carryOut(const poll_health &action);
    /// Sets the connection limit of a server.
    void carryOut(const limit_connections &action);

private:
    std::string requestId(attempt_id attempt) const;

    outgoing_http &m_connections;
    metrics_registry &m_metrics;
    std::string m_idPrefix;
    event_sink m_onEvent;
};

} // namespace waxwing
