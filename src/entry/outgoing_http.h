#pragma once

#include "http/client.h"

namespace waxwing {

/// Interface of the HTTP client. Tests implement it to script responses.
class outgoing_http
{
public:
    virtual ~outgoing_http() = default;
    /// Sends a request; `onDone` is called once, never from within the call.
    virtual void send(const endpoint &peer, const http::request &message,
                      std::chrono::milliseconds timeout, http::client::callback onDone) = 0;
    /// Sets the maximum number of connections to `peer`.
    virtual void setConnectionLimit(const endpoint &peer, std::size_t limit) = 0;
};

} // namespace waxwing
