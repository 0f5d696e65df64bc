#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "http/connection_account.h"
#include "http/message.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

struct event_base;

namespace waxwing::http {

/// Limits of a `server`.
struct server_settings
{
    /// Address to listen on; port 0 lets the system choose.
    endpoint listen{"127.0.0.1", 0};
    /// Largest accepted body, in bytes; a larger one is answered with 413.
    std::size_t maxBodyBytes = std::size_t{64} * 1024;
    /// Largest accepted header block, in bytes.
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    /// Time after which an idle connection is closed.
    std::chrono::seconds idleTimeout{60};
    /// Time in which a request that has begun must arrive whole; then it is answered with 408.
    std::chrono::milliseconds requestTimeout{5000};

    bool operator==(const server_settings &) const = default;
};

class server_core;

/// Answers one request, once. May outlive the handler's call; a request whose responder is
/// destroyed unanswered gets status 500.
class responder
{
public:
    responder(std::weak_ptr<server_core> core, request_id id);
    responder(responder &&) noexcept;
    responder &operator=(responder &&) noexcept;
    ~responder();

    /// Sends the response; later calls do nothing.
    void respond(const response &answer);
    /// Closes the connection without a response, as a host that fails does.
    void drop();
    /// Whether this is the first request on its connection.
    bool isFirstOnConnection() const;
    /// Sets what is called once if the peer goes away before the response.
    void onDisconnect(std::function<void()> callback);

private:
    /// Expired once the request is answered.
    std::weak_ptr<server_core> m_core;
    request_id m_id;
};

/// HTTP/1.1 server on a libevent loop. Rejects what `message_parser` rejects, with a problem
/// document, and closes the connection.
class server
{
public:
    /// Called on the loop for each whole request.
    using handler = std::function<void(request, responder)>;

    /// Listens at once. Fails with Unavailable if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<server>>
    create(event_base *base, const server_settings &settings, handler onRequest);
    ~server();

    /// Counts the bytes of connections, as `raw_server::limitMemory` does.
    void limitMemory(const connection_memory &memory);
    /// The address that is listened on, with the port that the system chose.
    endpoint localEndpoint() const;
    /// Stops accepting connections and closes each connection with its next response.
    void beginDrain();
    /// Requests received and not yet answered.
    std::size_t requestsInProgress() const;
    /// Open connections, idle ones included, except those that have their last answer.
    std::size_t connections() const;

private:
    explicit server(std::shared_ptr<server_core> core);
    std::shared_ptr<server_core> m_core;
};

} // namespace waxwing::http
