#include "http/server_core.h"

#include "http/evhttp_convert.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace waxwing::http {
namespace {

endpoint boundEndpoint(evutil_socket_t socket, const endpoint &requested)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return requested;
    return {requested.address, ntohs(address.sin_port)};
}

} // namespace

server_core::server_core(event_base *base, const server_settings &settings,
                         server::handler onRequest)
    : m_base(base), m_settings(settings), m_handler(std::move(onRequest)), m_http(evhttp_new(base))
{
    ignoreBrokenPipes();
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(settings.maxHeaderBytes));
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(settings.maxBodyBytes));
    evhttp_set_timeout(m_http, static_cast<int>(settings.idleTimeout.count()));
    evhttp_set_default_content_type(m_http, nullptr);
    // Every known method reaches the handler, so that 405 is answered with a problem document.
    evhttp_set_allowed_methods(m_http, 0x1FF);
    evhttp_set_bevcb(m_http, onAccept, this);
    evhttp_set_gencb(m_http, server_core::onRequest, this);
}

server_core::~server_core()
{
    m_closing = true;
    evhttp_free(m_http);
}

absl::Status server_core::listen()
{
    m_socket = evhttp_bind_socket_with_handle(m_http, m_settings.listen.address.c_str(),
                                              m_settings.listen.port);
    if (m_socket == nullptr)
        return absl::UnavailableError("cannot listen on " + m_settings.listen.toString());
    m_local = boundEndpoint(evhttp_bound_socket_get_fd(m_socket), m_settings.listen);
    return absl::OkStatus();
}

endpoint server_core::localEndpoint() const
{
    return m_local;
}

void server_core::beginDrain()
{
    if (m_draining)
        return;
    m_draining = true;
    evhttp_del_accept_socket(m_http, m_socket);
    // Closing a connection removes it from the list.
    for (auto next = m_connections.begin(); next != m_connections.end();) {
        server_connection &connection = *next->second;
        ++next;
        connection.closeIfIdle();
    }
}

std::size_t server_core::requestsInProgress() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &entry) { return entry.second->current() != nullptr; }));
}

void server_core::forget(bufferevent *connection)
{
    m_connections.erase(connection);
}

bufferevent *server_core::onAccept(event_base *, void *self)
{
    auto &core = *static_cast<server_core *>(self);
    auto connection = std::make_unique<server_connection>(core);
    bufferevent *buffered = connection->buffered();
    core.m_connections.emplace(buffered, std::move(connection));
    return buffered;
}

void server_core::onRequest(evhttp_request *received, void *self)
{
    static_cast<server_core *>(self)->handle(received);
}

void server_core::handle(evhttp_request *received)
{
    bufferevent *buffered =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(received));
    responder answer(m_connections.at(buffered)->start(received));
    std::optional<request> message = toRequest(received);
    if (message) {
        m_handler(std::move(*message), std::move(answer));
        return;
    }
    response problem = problemResponse(
        {405, "method-not-allowed", "allowed methods are GET, POST, PUT and DELETE"});
    problem.headers.emplace_back("Allow", "GET, POST, PUT, DELETE");
    answer.respond(problem);
}

} // namespace waxwing::http
