#include "http/server_connection.h"

#include "http/evhttp_convert.h"
#include "http/server_core.h"

#include <event2/http.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <cstdlib>
#include <string>

namespace waxwing::http {
namespace {

/// What a socket without unread data has to offer.
enum class socket_state { Quiet, HasData, Closed };

socket_state peek(evutil_socket_t socket)
{
    char byte = 0;
    const auto received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return socket_state::HasData;
    const bool wouldBlock = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return wouldBlock || (received < 0 && errno == EINTR) ? socket_state::Quiet
                                                          : socket_state::Closed;
}

/// A problem document as text, after which the connection closes.
std::string closingResponse(const response &answer)
{
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/problem+json\r\n"
                       "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                       answer.status, reasonPhrase(answer.status), answer.body.size(), answer.body);
}

/// Refusal that stands for an error page of evhttp.
refusal toRefusal(int status, bool headerTooLarge)
{
    if (headerTooLarge)
        return {431, "headers-too-large", "the header block is over the limit"};
    if (status == 413)
        return {413, "body-too-large", "the body is over the limit"};
    if (status == 501)
        return {501, "method-not-implemented", "the method is unknown"};
    return {status, "malformed-request", "the request is not valid HTTP"};
}

} // namespace

server_connection::server_connection(server_core &core)
    : m_core(core), m_buffered(bufferevent_socket_new(core.base(), -1, 0)),
      m_attach(event_new(core.base(), -1, 0, onAttach, this)),
      m_arrival(event_new(core.base(), -1, 0, onArrivalTimeout, this)),
      m_deferredClose(event_new(core.base(), -1, 0, onDeferredClose, this))
{
    // Keeps the object valid until the close is noted, also when evhttp frees it first.
    bufferevent_incref(m_buffered);
    m_inputWatch = evbuffer_add_cb(bufferevent_get_input(m_buffered), onInput, this);
    m_outputWatch = evbuffer_add_cb(bufferevent_get_output(m_buffered), onOutput, this);
    // evhttp's connection exists only after this call; the event runs before the next poll.
    event_active(m_attach.get(), EV_TIMEOUT, 0);
}

server_connection::~server_connection()
{
    if (m_current)
        m_current->connection = nullptr;
    evbuffer_remove_cb_entry(bufferevent_get_input(m_buffered), m_inputWatch);
    evbuffer_remove_cb_entry(bufferevent_get_output(m_buffered), m_outputWatch);
    bufferevent_decref(m_buffered);
}

evhttp_connection *server_connection::handle() const
{
    // evhttp passes its connection to its own callbacks; a freed buffer has none.
    void *argument = nullptr;
    bufferevent_getcb(m_buffered, nullptr, nullptr, nullptr, &argument);
    return static_cast<evhttp_connection *>(argument);
}

std::shared_ptr<pending_request> server_connection::start(evhttp_request *received)
{
    m_current = std::make_shared<pending_request>();
    m_current->connection = this;
    m_current->received = received;
    event_del(m_arrival.get());
    m_current->first = !std::exchange(m_used, true);
    // evhttp does not read while a request is handled and would not notice the peer's close.
    m_peerWatch.reset(event_new(m_core.base(), bufferevent_getfd(m_buffered), EV_READ | EV_CLOSED,
                                onReadable, this));
    event_add(m_peerWatch.get(), nullptr);
    return m_current;
}

void server_connection::send(evhttp_request *received, const response &answer)
{
    m_peerWatch.reset();
    if (m_current)
        m_current->connection = nullptr;
    m_current.reset();
    m_sending = true;
    addHeaders(received, answer.headers);
    if (m_core.isDraining())
        addHeaders(received, {{"Connection", "close"}});
    const evbuffer_ptr body(evbuffer_new());
    evbuffer_add(body.get(), answer.body.data(), answer.body.size());
    evhttp_request_set_on_complete_cb(received, onSent, this);
    evhttp_send_reply(received, answer.status, reasonPhrase(answer.status).data(), body.get());
}

void server_connection::drop()
{
    m_dropped = true;
    m_current->onDisconnect = nullptr;
    // The handler may still be called by evhttp, which uses the connection afterwards.
    event_active(m_deferredClose.get(), EV_TIMEOUT, 0);
}

void server_connection::closeIfIdle()
{
    evhttp_connection *connection = handle();
    if (connection != nullptr && (m_dropped || isIdle()))
        evhttp_connection_free(connection);
}

bool server_connection::isIdle() const
{
    return !m_current && !m_sending && m_consumed == 0
        && evbuffer_get_length(bufferevent_get_input(m_buffered)) == 0
        && evbuffer_get_length(bufferevent_get_output(m_buffered)) == 0
        && peek(bufferevent_getfd(m_buffered)) != socket_state::HasData;
}

void server_connection::onAttach(evutil_socket_t, short, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    evhttp_connection *handle = connection->handle();
    if (handle == nullptr) {
        connection->closed();
        return;
    }
    evhttp_connection_set_closecb(handle, onClosed, connection);
    if (connection->m_core.isDraining())
        connection->closeIfIdle();
}

void server_connection::onClosed(evhttp_connection *, void *self)
{
    static_cast<server_connection *>(self)->closed();
}

void server_connection::closed()
{
    const auto current = std::move(m_current);
    const bool report = current && !m_core.isClosing();
    if (current) {
        current->connection = nullptr;
        // evhttp hands a request whose connection broke over to its handler.
        if (evhttp_request_get_connection(current->received) == nullptr)
            evhttp_request_free(current->received);
    }
    m_core.forget(m_buffered);
    if (report && current->onDisconnect)
        std::exchange(current->onDisconnect, nullptr)();
}

void server_connection::onSent(evhttp_request *, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    connection->m_sending = false;
    connection->m_consumed = 0;
    connection->m_headerEnded = false;
    connection->findHeaderEnd(bufferevent_get_input(connection->m_buffered));
    connection->watchArrival();
    // evhttp still uses the connection here.
    if (connection->m_core.isDraining())
        event_active(connection->m_deferredClose.get(), EV_TIMEOUT, 0);
}

void server_connection::onDeferredClose(evutil_socket_t, short, void *self)
{
    static_cast<server_connection *>(self)->closeIfIdle();
}

void server_connection::onReadable(evutil_socket_t socket, short, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    switch (peek(socket)) {
    case socket_state::Closed:
        if (evhttp_connection *handle = connection->handle())
            evhttp_connection_free(handle);
        break;
    case socket_state::HasData:
        // A pipelined request waits; watching on for data would keep the loop busy.
        connection->m_peerWatch.reset(
            event_new(connection->m_core.base(), socket, EV_CLOSED, onReadable, connection));
        event_add(connection->m_peerWatch.get(), nullptr);
        break;
    case socket_state::Quiet:
        event_add(connection->m_peerWatch.get(), nullptr);
        break;
    }
}

void server_connection::onInput(evbuffer *buffer, const evbuffer_cb_info *change, void *self)
{
    static_cast<server_connection *>(self)->noteInput(buffer, *change);
}

void server_connection::noteInput(evbuffer *buffer, const evbuffer_cb_info &change)
{
    m_consumed += change.n_deleted;
    if (change.n_added == 0)
        return;
    findHeaderEnd(buffer);
    watchArrival();
}

void server_connection::watchArrival()
{
    const bool isArriving =
        !m_current && !m_sending && evbuffer_get_length(bufferevent_get_input(m_buffered)) > 0;
    if (!isArriving || event_pending(m_arrival.get(), EV_TIMEOUT, nullptr) != 0)
        return;
    constexpr int msPerSecond = 1000;
    const auto limit = m_core.settings().requestTimeout.count();
    const timeval after{limit / msPerSecond, limit % msPerSecond * msPerSecond};
    event_add(m_arrival.get(), &after);
}

void server_connection::onArrivalTimeout(evutil_socket_t, short, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    evhttp_connection *handle = connection->handle();
    if (handle == nullptr || connection->m_current || connection->m_sending)
        return;
    // evhttp cannot answer a request that it has not read whole.
    const std::string answer = closingResponse(
        problemResponse({408, "request-timeout", "the request did not arrive whole in time"}));
    ::send(bufferevent_getfd(connection->m_buffered), answer.data(), answer.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT);
    evhttp_connection_free(handle);
}

void server_connection::findHeaderEnd(evbuffer *buffer)
{
    if (m_headerEnded)
        return;
    // evhttp takes whole lines, so the empty line may be the first one left.
    constexpr std::size_t lineEnd = 2;
    char first[lineEnd] = {};
    const bool emptyLine = m_consumed > 0 && evbuffer_copyout(buffer, first, lineEnd) == lineEnd
        && first[0] == '\r' && first[1] == '\n';
    const auto end = evbuffer_search(buffer, "\r\n\r\n", 2 * lineEnd, nullptr);
    if (!emptyLine && end.pos < 0)
        return;
    const std::size_t length = emptyLine ? 0 : static_cast<std::size_t>(end.pos);
    m_headerEnded = m_consumed + length <= m_core.settings().maxHeaderBytes;
}

bool server_connection::isHeaderTooLarge() const
{
    // evhttp reports this as 400 or as 413, depending on the line that is too long.
    const std::size_t unread = evbuffer_get_length(bufferevent_get_input(m_buffered));
    return !m_headerEnded && m_consumed + unread > m_core.settings().maxHeaderBytes;
}

void server_connection::onOutput(evbuffer *buffer, const evbuffer_cb_info *change, void *self)
{
    auto *connection = static_cast<server_connection *>(self);
    if (!connection->m_sending && change->n_added > 0)
        connection->replaceErrorPage(buffer);
}

void server_connection::replaceErrorPage(evbuffer *buffer)
{
    const std::string page = toString(buffer);
    constexpr std::string_view pageEnd = "</HTML>\n";
    constexpr std::size_t statusOffset = 9;
    if (page.size() < statusOffset + pageEnd.size() || !page.ends_with(pageEnd))
        return;
    const int status = std::atoi(page.c_str() + statusOffset);
    const std::string answer =
        closingResponse(problemResponse(toRefusal(status, isHeaderTooLarge())));
    m_sending = true;
    evbuffer_drain(buffer, page.size());
    evbuffer_add(buffer, answer.data(), answer.size());
}

} // namespace waxwing::http
