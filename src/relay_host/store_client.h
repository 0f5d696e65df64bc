#pragma once

#include "http/client_pool.h"
#include "relay_host/relay_loop.h"
#include "relay_host/wire_codec.h"
#include "telemetry/metrics_registry.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace waxwing::relay {

/// Limits of a `store_client`.
struct store_client_settings
{
    /// Address of the store.
    endpoint address;
    /// Time for the answer of a call, beyond the time that a watch waits. A hundred times the
    /// usual time of an answer, so that a slow store is still read.
    std::chrono::milliseconds answerTimeout{1500};
    /// The same for the answer of another host, which has what it answers at hand.
    std::chrono::milliseconds peerTimeout{700};
    /// Connections. The largest answer is a page of 1 MB of objects, or one object of 1 MB.
    http::client_pool_settings connections{.messages = {.bodyBytes = std::size_t{4} * 1024 * 1024}};

    bool operator==(const store_client_settings &) const = default;
};

/// Calls the store and reports how the calls end.
class store_client
{
public:
    /// All references must outlive the client.
    store_client(event_base *base, const clock &time, const store_client_settings &settings,
                 const wire_codec &codec, metrics_registry &metrics, relay_event_sink onEvent);

    /// Ends with `store_called`.
    void carryOut(const call_store &action);

private:
    /// Call in progress.
    struct pending_call
    {
        store_call call;
        time_point deadline;
    };

    static void onTimer(int socket, short events, void *self);
    void report(attempt_id number, const http::client_pool::outcome &outcome);
    void cancelOverdueCalls();

    const clock &m_time;
    store_client_settings m_settings;
    const wire_codec &m_codec;
    metrics_registry &m_metrics;
    relay_event_sink m_onEvent;
    std::uint64_t m_lastCallNumber = 0;
    std::map<std::uint64_t, pending_call> m_pending;
    http::event_ptr m_timer;
    http::client_pool m_connections;
};

} // namespace waxwing::relay
