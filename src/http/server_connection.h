#pragma once

#include "http/event_ptr.h"
#include "http/message.h"
#include "http/pending_request.h"

#include <event2/bufferevent.h>

#include <memory>

struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace waxwing::http {

class server_core;

/// One accepted connection. evhttp reports neither connections without a request nor, while a
/// request is handled, a peer that closes; and its own error pages are HTML. This class watches
/// the buffers of the connection to add these.
class server_connection
{
public:
    explicit server_connection(server_core &core);
    ~server_connection();
    server_connection(const server_connection &) = delete;
    server_connection &operator=(const server_connection &) = delete;

    /// Buffered socket of the connection.
    bufferevent *buffered() const { return m_buffered; }
    /// evhttp's connection, or null before it exists.
    evhttp_connection *handle() const;
    /// Request that is being handled, or null.
    const std::shared_ptr<pending_request> &current() const { return m_current; }
    /// Starts to handle a request; watches for the peer to close.
    std::shared_ptr<pending_request> start(evhttp_request *received);
    /// Sends the response to the request in progress.
    void send(evhttp_request *received, const response &answer);
    /// Closes the connection in place of a response.
    void drop();
    /// Closes the connection unless a request or response is on its way.
    void closeIfIdle();

private:
    static void onAttach(evutil_socket_t socket, short what, void *self);
    static void onClosed(evhttp_connection *handle, void *self);
    static void onSent(evhttp_request *sent, void *self);
    static void onReadable(evutil_socket_t socket, short what, void *self);
    static void onArrivalTimeout(evutil_socket_t socket, short what, void *self);
    static void onDeferredClose(evutil_socket_t socket, short what, void *self);
    static void onInput(evbuffer *buffer, const evbuffer_cb_info *change, void *self);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *change, void *self);
    void closed();
    void noteInput(evbuffer *buffer, const evbuffer_cb_info &change);
    void findHeaderEnd(evbuffer *buffer);
    void replaceErrorPage(evbuffer *buffer);
    void watchArrival();
    bool isIdle() const;
    bool isHeaderTooLarge() const;

    server_core &m_core;
    bufferevent *m_buffered;
    evbuffer_cb_entry *m_inputWatch = nullptr;
    evbuffer_cb_entry *m_outputWatch = nullptr;
    event_ptr m_attach;
    event_ptr m_peerWatch;
    event_ptr m_arrival;
    event_ptr m_deferredClose;
    std::shared_ptr<pending_request> m_current;
    /// Whether a response of ours is being written, as opposed to one of evhttp.
    bool m_sending = false;
    /// Whether the connection is to be closed although a request is in progress.
    bool m_dropped = false;
    /// Whether a request was received before.
    bool m_used = false;
    /// Bytes of the current request that evhttp has taken from the input.
    std::size_t m_consumed = 0;
    /// Whether the header of the current request ended within the limit.
    bool m_headerEnded = false;
};

} // namespace waxwing::http
