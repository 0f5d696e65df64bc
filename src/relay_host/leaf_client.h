#pragma once

#include "relay_host/answer_pipes.h"
#include "relay_host/event_client.h"
#include "relay_host/wire_codec.h"
#include "telemetry/metrics_registry.h"

namespace waxwing::relay {

/// Sends the attempts of a relay host to backend servers over pooled connections and posts their
/// outcomes as events.
class leaf_client
{
public:
    /// `base`, `time`, `codec` and `metrics` must outlive the client.
    leaf_client(event_base *base, const clock &time, const http::client_pool_settings &settings,
                const wire_codec &codec, metrics_registry &metrics, relay_event_sink onEvent);

    /// Counts the bytes of requests and responses. The budget must outlive the client.
    void limitMemory(memory_budget &memory);

    /// Connections to servers.
    http::client_pool &connections() { return m_calls.connections(); }
    /// Passes answers that are larger than the limit on in pieces. `pipes` must outlive the client.
    void useForLargeAnswers(answer_pipes &pipes);
    /// Sets an observer of requests for which a connection had to be opened; none at first.
    void observeWrites(http::client_pool::write_observer onWritten);
    /// Sets an observer of responses that may not answer the request in progress; none at first.
    void observeDoubts(http::client_pool::doubt_observer onDoubt);

    /// Posts `leaf_answered` or `leaf_failed` when the attempt ends.
    void carryOut(const send_to_leaf &action);
    /// Cancels the attempt by closing its connection.
    void carryOut(const cancel_attempt &action);
    /// Closes the idle connections to the address.
    void carryOut(const close_idle_connections &action);

private:
    bool beginLargeAnswer(const answer_pipes &pipes, attempt_id attempt, http::raw_response start,
                          std::optional<std::uint64_t> length);

    const wire_codec &m_codec;
    relay_event_sink m_onEvent;
    event_client m_calls;
};

} // namespace waxwing::relay
