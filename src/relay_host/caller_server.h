#pragma once

#include "http/raw_server.h"
#include "relay_host/relay_loop.h"
#include "relay_host/wire_codec.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <memory>

namespace waxwing::relay {

/// Receives the requests of callers and sends the answers.
class caller_server
{
public:
    /// Listens at once. All references must outlive the front.
    static absl::StatusOr<std::unique_ptr<caller_server>>
    create(event_base *base, const clock &time, const http::raw_server_settings &settings,
           const wire_codec &codec, metrics_registry &metrics, const relay_event_sink &onEvent);

    /// Answers a request.
    void carryOut(const answer_request &action);
    /// Applies new limits.
    void carryOut(const limit_callers &action);
    /// Closes each connection with its next answer.
    void carryOut(const announce_close &action);
    /// Stops accepting.
    void carryOut(const close_callers &action);
    /// The address that is bound.
    endpoint localEndpoint() const { return m_server->localEndpoint(); }

private:
    explicit caller_server(const wire_codec &codec);

    const wire_codec &m_codec;
    std::unique_ptr<http::raw_server> m_server;
};

} // namespace waxwing::relay
