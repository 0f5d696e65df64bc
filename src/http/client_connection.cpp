#include "http/client_connection.h"

#include "http/client_core.h"
#include "http/evhttp_convert.h"

#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <algorithm>
#include <cassert>

namespace waxwing::http {
namespace {

using std::chrono::steady_clock;

evhttp_cmd_type toCommand(std::string_view method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

/// evhttp's own timeout in seconds. Longer than any request, because the timer of the connection
/// decides.
constexpr int evhttpTimeout = 24 * 60 * 60;

} // namespace

client_connection::client_connection(client_core &core, const endpoint &peer)
    : m_core(core), m_peer(peer),
      m_handle(evhttp_connection_base_new(core.base(), nullptr, peer.address.c_str(), peer.port)),
      m_timer(event_new(core.base(), -1, 0, onTimer, this))
{
    // A retry by evhttp could run a request twice.
    evhttp_connection_set_retries(m_handle, 0);
    evhttp_connection_set_timeout(m_handle, evhttpTimeout);
    evhttp_connection_set_max_body_size(m_handle,
                                        static_cast<ev_ssize_t>(core.settings().maxBodyBytes));
    evhttp_connection_set_closecb(m_handle, onClosed, this);
    bufferevent *buffered = evhttp_connection_get_bufferevent(m_handle);
    m_outputWatch = evbuffer_add_cb(bufferevent_get_output(buffered), onOutput, this);
}

client_connection::~client_connection()
{
    bufferevent *buffered = evhttp_connection_get_bufferevent(m_handle);
    evbuffer_remove_cb_entry(bufferevent_get_output(buffered), m_outputWatch);
    evhttp_connection_set_closecb(m_handle, nullptr, nullptr);
    evhttp_connection_free(m_handle);
}

bool client_connection::isUsable() const
{
    if (!isIdle() || m_closed)
        return false;
    char byte = 0;
    const auto socket = bufferevent_getfd(evhttp_connection_get_bufferevent(m_handle));
    // Data on an idle connection belongs to no request.
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
        && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::start(client_request message)
{
    assert(isIdle());
    m_current = std::move(message);
    m_sent = false;
    m_error.reset();
    m_kept = bufferevent_getfd(evhttp_connection_get_bufferevent(m_handle)) >= 0;

    evhttp_request *outgoing = evhttp_request_new(onResponse, this);
    evhttp_request_set_error_cb(outgoing, onError);
    addHeaders(outgoing, {{"Host", m_peer.toString()}});
    addHeaders(outgoing, m_current->message.headers);
    const std::string &body = m_current->message.body;
    evbuffer_add(evhttp_request_get_output_buffer(outgoing), body.data(), body.size());

    const auto left = m_current->deadline - steady_clock::now();
    arm(m_kept ? left : std::min<steady_clock::duration>(left, m_core.settings().connectTimeout));
    const std::string target = toTarget(m_current->message);
    if (evhttp_make_request(m_handle, outgoing, toCommand(m_current->message.method),
                            target.c_str())
            != 0
        && m_current)
        finish(failure());
}

void client_connection::onResponse(evhttp_request *received, void *self)
{
    static_cast<client_connection *>(self)->handleResponse(received);
}

void client_connection::handleResponse(evhttp_request *received)
{
    if (!m_current)
        return;
    if (received != nullptr && evhttp_request_get_response_code(received) != 0)
        finish(toResponse(received));
    else
        finish(failure());
}

void client_connection::onError(evhttp_request_error error, void *self)
{
    static_cast<client_connection *>(self)->m_error = error;
}

void client_connection::onClosed(evhttp_connection *, void *self)
{
    auto *connection = static_cast<client_connection *>(self);
    connection->m_closed = true;
    if (connection->isIdle())
        connection->m_core.discard(connection);
}

void client_connection::onTimer(evutil_socket_t, short, void *self)
{
    static_cast<client_connection *>(self)->handleTimer();
}

void client_connection::handleTimer()
{
    if (!m_current) {
        m_closed = true;
        m_core.discard(this);
        return;
    }
    const auto left = m_current->deadline - steady_clock::now();
    if (m_sent && left > steady_clock::duration::zero()) {
        arm(left);
        return;
    }
    // A late response must not meet the next request.
    m_closed = true;
    if (m_sent)
        finish(transport_failure{transport_error::Timeout, "no response in time"});
    else
        finish(transport_failure{transport_error::ConnectFailed, "not connected in time"});
}

void client_connection::onOutput(evbuffer *, const evbuffer_cb_info *change, void *self)
{
    auto *connection = static_cast<client_connection *>(self);
    // evhttp empties the buffer when it resets a connection, after it has closed the socket.
    if (change->n_deleted > 0
        && bufferevent_getfd(evhttp_connection_get_bufferevent(connection->m_handle)) >= 0)
        connection->m_sent = true;
}

transport_failure client_connection::failure() const
{
    if (!m_sent)
        return {transport_error::ConnectFailed, "cannot connect to " + m_peer.toString()};
    if (m_error == EVREQ_HTTP_INVALID_HEADER || m_error == EVREQ_HTTP_DATA_TOO_LONG)
        return {transport_error::Malformed, "the response is not HTTP or too large"};
    return {transport_error::ConnectionLost, "the connection broke before the whole response"};
}

void client_connection::finish(client::outcome result)
{
    client_request done = std::move(*m_current);
    m_current.reset();
    const bool failed = std::holds_alternative<transport_failure>(result);
    m_closed = m_closed || failed;
    if (m_closed) {
        event_del(m_timer.get());
        m_core.discard(this);
    } else {
        arm(m_core.settings().idleTimeout);
    }
    // The peer closed a kept connection before anything was sent, so a new one may be tried.
    if (failed && m_kept && !m_sent && steady_clock::now() < done.deadline)
        m_core.resend(std::move(done));
    else
        m_core.complete(std::move(done.onDone), std::move(result));
}

void client_connection::arm(steady_clock::duration delay)
{
    const auto bounded = std::max(delay, steady_clock::duration::zero());
    const auto micros = std::chrono::ceil<std::chrono::microseconds>(bounded).count();
    constexpr std::int64_t perSecond = 1'000'000;
    const timeval after{micros / perSecond, micros % perSecond};
    event_add(m_timer.get(), &after);
}

} // namespace waxwing::http
