#pragma once

#include "entry/event_sink.h"
#include "entry/outgoing_http.h"
#include "events/effect.h"
#include "telemetry/metrics_registry.h"

#include <string>

namespace waxwing {

/// Sends searches, commands and health polls to backend servers and reports how they end.
class backend_client
{
public:
    /// Request ids are `host-incarnation-attempt`. `connections` and `metrics` must outlive the
    /// client, and no callback of `connections` may come after it.
    backend_client(outgoing_http &connections, metrics_registry &metrics, const host_id &host,
                   std::uint64_t incarnation, event_sink onEvent);

    /// Ends with `leaf_search_finished`.
    void carryOut(const send_leaf_search &action);
    /// Ends with `leaf_command_finished`.
    void carryOut(const send_leaf_command &action);
    /// Sends the cancellation; the search itself ends with its own reply.
    void carryOut(const cancel_leaf_search &action);
    /// Ends with `leaf_health_reported` if there is a valid report.
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
