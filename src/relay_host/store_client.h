#pragma once

#include "http/client_pool.h"
#include "relay_host/pass_profile.h"
#include "relay_host/relay_loop.h"
#include "relay_host/wire_codec.h"
#include "telemetry/metrics_registry.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace waxwing::relay {

/// Store address, timeouts and connection limits of a `store_client`.
struct store_client_settings
{
    endpoint address;
    /// Timeout of a call to the store, in addition to the wait of a watch. It is a hundred times
    /// the usual response time, so that a slow store can still be read.
    std::chrono::milliseconds answerTimeout{1500};
    /// Timeout of a call to another host, in addition to the wait of a watch. It is shorter because
    /// hosts answer from memory.
    std::chrono::milliseconds peerTimeout{700};
    /// The body limit leaves room for the largest answer: a page of 1 MB of objects, or one object
    /// of 1 MB.
    http::client_pool_settings connections{.messages = {.bodyBytes = std::size_t{4} * 1024 * 1024}};

    bool operator==(const store_client_settings &) const = default;
};

/// Calls the store, or another host in its place, and posts the outcomes as events.
class store_client
{
public:
    /// `base`, `time`, `codec`, `memory`, `metrics` and `profile` must outlive the client.
    store_client(event_base *base, const clock &time, const store_client_settings &settings,
                 const wire_codec &codec, memory_budget &memory, metrics_registry &metrics,
                 pass_profile &profile, relay_event_sink onEvent);

    /// Posts `store_call_ended` when the call ends or times out.
    void carryOut(const call_store &action);

private:
    struct pending_call
    {
        store_call call;
        time_point deadline;
    };

    static void onTimer(int socket, short events, void *self);
    void report(attempt_id number, const http::client_pool::outcome &outcome);
    std::variant<store_answer, store_failure> read(const store_call &call,
                                                   const http::client_pool::outcome &outcome) const;
    std::variant<store_answer, store_failure> readCompressed(const store_call &call,
                                                             http::raw_response response) const;
    void cancelOverdueCalls();

    const clock &m_time;
    store_client_settings m_settings;
    const wire_codec &m_codec;
    memory_budget &m_memory;
    metrics_registry &m_metrics;
    pass_profile &m_profile;
    relay_event_sink m_onEvent;
    std::uint64_t m_lastCallNumber = 0;
    std::map<std::uint64_t, pending_call> m_pending;
    http::event_ptr m_timer;
    http::client_pool m_connections;
};

} // namespace waxwing::relay
