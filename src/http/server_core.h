#pragma once

#include "core/clock.h"
#include "http/raw_server.h"
#include "http/server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace waxwing::http {

/// State of a `server`, which its responders may outlive: the connections and the requests that are
/// not answered yet.
class server_core : public std::enable_shared_from_this<server_core>
{
public:
    explicit server_core(server::handler onRequest);

    /// Binds the address of the settings.
    absl::Status listen(event_base *base, const server_settings &settings);
    /// See `responder::respond`.
    void respond(request_id id, response answer);
    /// See `responder::drop`.
    void drop(request_id id);
    /// See `responder::isFirstOnConnection`.
    bool isFirstOnConnection(request_id id) const;
    /// See `responder::onDisconnect`.
    void setOnDisconnect(request_id id, std::function<void()> callback);
    /// See `server::limitMemory`.
    void limitMemory(const connection_memory &memory) { m_connections->limitMemory(memory); }
    /// See `server::beginDrain`.
    void beginDrain() { m_connections->stopAccepting(); }
    /// See `server::localEndpoint`.
    endpoint localEndpoint() const { return m_connections->localEndpoint(); }
    /// See `server::requestsInProgress`.
    std::size_t requestsInProgress() const { return m_unanswered.size(); }
    /// See `server::connections`.
    std::size_t connections() const { return m_connections->connections(); }

private:
    void handle(request_id id, raw_request received);
    void onGone(request_id id);

    system_clock m_time;
    server::handler m_handler;
    /// What is called when the peer of an unanswered request goes away; may be empty.
    std::map<std::uint64_t, std::function<void()>> m_unanswered;
    std::unique_ptr<raw_server> m_connections;
};

} // namespace waxwing::http
