#pragma once

#include "http/raw_server.h"
#include "relay_host/answer_pipes.h"
#include "relay_host/rejection_log.h"
#include "relay_host/relay_loop.h"
#include "relay_host/wire_codec.h"

#include <absl/status/statusor.h>

#include <memory>

namespace waxwing::relay {

/// HTTP server for callers. Posts each request as an event and sends the answers.
class caller_server
{
public:
    /// Starts to listen. `base`, `time`, `codec`, `memory`, `rejections` and `pipes` must outlive
    /// the server.
    static absl::StatusOr<std::unique_ptr<caller_server>>
    create(event_base *base, const loop_clock &time, const http::raw_server_settings &settings,
           const wire_codec &codec, memory_budget &memory, rejection_log &rejections,
           answer_pipes &pipes, const relay_event_sink &onEvent);

    void carryOut(const answer_request &action);
    /// Applies new size limits and timeouts to the connections of callers.
    void carryOut(const set_caller_limits &action);
    /// Closes each connection after its next answer.
    void carryOut(const announce_close &action);
    /// Stops accepting connections.
    void carryOut(const close_callers &action);
    /// Whether callers have not taken all of their answers.
    bool hasUnsentBytes() const { return m_server->hasUnsentBytes(); }
    /// Address that the server is bound to.
    endpoint localEndpoint() const { return m_server->localEndpoint(); }

private:
    caller_server(const wire_codec &codec, answer_pipes &pipes);

    const wire_codec &m_codec;
    answer_pipes &m_pipes;
    std::unique_ptr<http::raw_server> m_server;
};

} // namespace waxwing::relay
