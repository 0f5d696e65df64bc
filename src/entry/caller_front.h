#pragma once

#include "entry/event_sink.h"
#include "entry/request_numbers.h"
#include "http/server.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>

namespace waxwing {
/// HTTP server for callers. Converts requests to events and outcomes to responses. Answers only
/// invalid requests by itself.
class caller_front
{
public:
    /// Starts listening. `numbers` and `metrics` must outlive the server. Fails if the port cannot
    /// be opened.
    static absl::StatusOr<std::unique_ptr<caller_front>>
    create(event_base *base, const http::server_settings &settings, request_numbers &numbers,
           metrics_registry &metrics, event_sink onEvent);

    /// Sends the response to a search. Returns false if no request with this id is pending here.
    bool answer(request_id id, const search_outcome &outcome);
    /// Sends the response to a command. Returns false if no request with this id is pending here.
    bool answer(request_id id, const command_outcome &outcome);
    /// Stops accepting connections and closes each open one after its next response.
    void beginDrain();
    /// Bound address, with the port that the system chose if the settings had port 0.
    endpoint localEndpoint() const;
    /// Number of requests without a response.
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
