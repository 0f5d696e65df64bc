#pragma once

#include "core/endpoint.h"
#include "http/message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

struct event_base;

namespace waxwing::http {

/// Why a request got no response.
enum class transport_error {
    /// All connections to the endpoint are in use; nothing was sent.
    NoFreeConnection,
    /// The connection could not be opened; nothing was sent.
    ConnectFailed,
    /// The connection broke after the request may have been received.
    ConnectionLost,
    /// No whole response in time; the request may have been received.
    Timeout,
    /// The response is not HTTP or too large.
    Malformed,
};

/// A failed request.
struct transport_failure
{
    /// Kind of failure.
    transport_error error = transport_error::ConnectionLost;
    /// Explanation for logs.
    std::string detail;

    bool operator==(const transport_failure &) const = default;
};

/// Whether the peer may have received the request.
bool mayHaveBeenReceived(transport_error error);

/// Limits of a `client`.
struct client_settings
{
    /// Largest accepted response body, in bytes.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    /// Time to open a connection.
    std::chrono::milliseconds connectTimeout{1000};
    /// Connections to one endpoint, unless `setConnectionLimit` says otherwise.
    std::size_t connectionsPerEndpoint = 64;
    /// Idle time after which a connection is closed.
    std::chrono::seconds idleTimeout{30};

    bool operator==(const client_settings &) const = default;
};

class client_core;

/// HTTP/1.1 client with a pool of kept connections for each endpoint.
class client
{
public:
    /// What a request ended with.
    using outcome = std::variant<response, transport_failure>;
    /// Called once on the loop, never from within `send`.
    using callback = std::function<void(outcome)>;

    client(event_base *base, client_settings settings);
    ~client();

    /// Sends a request. A connection whose request timed out is closed, so that a late response
    /// never meets the next request.
    void send(const endpoint &peer, const request &message, std::chrono::milliseconds timeout,
              callback onDone);
    /// Sets how many connections to `peer` are used at most.
    void setConnectionLimit(const endpoint &peer, std::size_t limit);
    /// Open connections to `peer`.
    std::size_t connections(const endpoint &peer) const;

private:
    std::unique_ptr<client_core> m_core;
};

} // namespace waxwing::http
