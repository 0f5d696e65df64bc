#pragma once

#include "http/client.h"
#include "http/event_ptr.h"

#include <event2/http.h>

#include <optional>

struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace waxwing::http {

class client_core;

/// A request on its way, with what is needed to send it once more.
struct client_request
{
    /// Peer.
    endpoint peer;
    /// The request.
    request message;
    /// When the request is given up.
    std::chrono::steady_clock::time_point deadline;
    /// Called with the outcome.
    client::callback onDone;
};

/// One connection of the client. Carries one request at a time.
class client_connection
{
public:
    client_connection(client_core &core, const endpoint &peer);
    ~client_connection();
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    /// Peer of the connection.
    const endpoint &peer() const { return m_peer; }
    /// Whether no request is on the connection.
    bool isIdle() const { return !m_current; }
    /// Whether the next request may use the connection. Asks the socket, because the peer's close
    /// may not have been read yet.
    bool isUsable() const;
    /// Starts a request on the idle connection.
    void start(client_request message);

private:
    static void onResponse(evhttp_request *received, void *self);
    static void onError(evhttp_request_error error, void *self);
    static void onClosed(evhttp_connection *handle, void *self);
    static void onTimer(evutil_socket_t socket, short what, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *change, void *self);
    void handleResponse(evhttp_request *received);
    void handleTimer();
    void finish(client::outcome result);
    transport_failure failure() const;
    void arm(std::chrono::steady_clock::duration delay);

    client_core &m_core;
    endpoint m_peer;
    evhttp_connection *m_handle;
    evbuffer_cb_entry *m_outputWatch;
    event_ptr m_timer;
    std::optional<client_request> m_current;
    std::optional<evhttp_request_error> m_error;
    /// Whether any byte of the current request was written to the socket.
    bool m_sent = false;
    /// Whether the socket was opened before the current request.
    bool m_kept = false;
    /// Whether the connection was closed and must not be used again.
    bool m_closed = false;
};

} // namespace waxwing::http
