#pragma once

#include "http/client_pool.h"
#include "relay_host/relay_loop.h"
#include "relay_host/wire_codec.h"
#include "telemetry/metrics_registry.h"

namespace waxwing::relay {

/// Sends requests to backend servers and reports how they end.
class leaf_client
{
public:
    /// All references must outlive the client.
    leaf_client(event_base *base, const clock &time, const http::client_pool_settings &settings,
                const wire_codec &codec, metrics_registry &metrics, relay_event_sink onEvent);

    /// Ends with `leaf_answered` or `leaf_failed`.
    void carryOut(const send_to_leaf &action);
    /// Closes the connection of the attempt.
    void carryOut(const cancel_attempt &action);
    /// Closes idle connections.
    void carryOut(const close_idle_connections &action);

private:
    void report(attempt_id attempt, http::client_pool::outcome outcome);

    const wire_codec &m_codec;
    relay_event_sink m_onEvent;
    http::client_pool m_connections;
};

} // namespace waxwing::relay
