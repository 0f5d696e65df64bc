#pragma once

#include "http/client.h"

namespace waxwing {

/// HTTP client as the shells use it. Tests replace it to script responses.
class outgoing_http
{
public:
    virtual ~outgoing_http() = default;
    /// Sends a request; `onDone` is called once, never from within the call.
    virtual void send(const endpoint &peer, const http::request &message,
                      std::chrono::milliseconds timeout, http::client::callback onDone) = 0;
    /// Sets how many connections to `peer` are used at most.
    virtual void setConnectionLimit(const endpoint &peer, std::size_t limit) = 0;
};

} // namespace waxwing
