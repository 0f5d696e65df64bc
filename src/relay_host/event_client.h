#pragma once

#include "http/client_pool.h"
#include "relay_host/relay_loop.h"

#include <functional>

namespace waxwing::relay {

/// Calls over pooled connections whose outcomes are posted as events.
class event_client
{
public:
    /// Creates the event for a response.
    using response_reader = std::function<relay_event_body(attempt_id, http::raw_response)>;
    /// Creates the event for a call without a response.
    using failure_reader = std::function<relay_event_body(attempt_id, leaf_failure)>;

    /// `base` and `time` must outlive the client. `onConnect` may be empty.
    event_client(event_base *base, const clock &time, const http::client_pool_settings &settings,
                 relay_event_sink onEvent, response_reader onResponse, failure_reader onFailure,
                 http::client_pool::connect_observer onConnect);

    /// Connections of the calls.
    http::client_pool &connections() { return m_connections; }

private:
    void report(attempt_id attempt, http::client_pool::outcome outcome) const;

    relay_event_sink m_onEvent;
    response_reader m_onResponse;
    failure_reader m_onFailure;
    http::client_pool m_connections;
};

} // namespace waxwing::relay
