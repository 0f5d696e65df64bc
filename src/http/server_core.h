#pragma once

#include "http/server.h"
#include "http/server_connection.h"

#include <unordered_map>

struct evhttp;
struct evhttp_bound_socket;

namespace waxwing::http {

/// State of a `server`: the evhttp server, its connections and its requests in progress.
class server_core
{
public:
    server_core(event_base *base, const server_settings &settings, server::handler onRequest);
    ~server_core();

    /// Binds the address of the settings.
    absl::Status listen();
    /// See `server::localEndpoint`.
    endpoint localEndpoint() const;
    /// See `server::beginDrain`.
    void beginDrain();
    /// See `server::requestsInProgress`.
    std::size_t requestsInProgress() const;
    /// See `server::connections`.
    std::size_t connections() const { return m_connections.size(); }

    /// Loop of the server.
    event_base *base() const { return m_base; }
    /// Limits.
    const server_settings &settings() const { return m_settings; }
    /// Whether `beginDrain` was called.
    bool isDraining() const { return m_draining; }
    /// Whether the server is being destroyed; peers are not reported as disconnected then.
    bool isClosing() const { return m_closing; }
    /// Forgets a closed connection, which is destroyed.
    void forget(bufferevent *connection);

private:
    static bufferevent *onAccept(event_base *base, void *self);
    static void onRequest(evhttp_request *received, void *self);
    void handle(evhttp_request *received);

    event_base *m_base;
    server_settings m_settings;
    server::handler m_handler;
    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    endpoint m_local;
    bool m_draining = false;
    bool m_closing = false;
    std::unordered_map<bufferevent *, std::unique_ptr<server_connection>> m_connections;
};

} // namespace waxwing::http
