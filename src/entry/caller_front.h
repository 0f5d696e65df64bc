#pragma once

#include "entry/event_sink.h"
#include "entry/request_numbers.h"
#include "http/server.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>

namespace waxwing {

/// HTTP server of the callers. Turns requests into events and outcomes into responses; answers
/// only what cannot be read.
class caller_front
{
public:
    /// Listens at once. `numbers` and `metrics` must outlive the front.
    static absl::StatusOr<std::unique_ptr<caller_front>>
    create(event_base *base, const http::server_settings &settings, request_numbers &numbers,
           metrics_registry &metrics, event_sink onEvent);

    /// Answers a search. Returns false if the request is not from a caller.
    bool answer(request_id id, const search_outcome &outcome);
    /// Answers a command. Returns false if the request is not from a caller.
    bool answer(request_id id, const command_outcome &outcome);
    /// Stops accepting connections and closes each one with its next response.
    void beginDrain();
    /// The address that is listened on.
    endpoint localEndpoint() const;
    /// Requests that are not answered yet.
    std::size_t requestsInProgress() const { return m_pending.size(); }

private:
    caller_front(request_numbers &numbers, metrics_registry &metrics, event_sink onEvent);
    void onRequest(const http::request &message, http::responder reply);
    void storeResponder(request_id id, http::responder reply);
    bool respond(request_id id, const http::response &message);
    void count(const http::response &message);

    request_numbers &m_numbers;
    metrics_registry &m_metrics;
    event_sink m_onEvent;
    std::map<request_id, http::responder> m_pending;
    std::unique_ptr<http::server> m_server;
};

} // namespace waxwing
