#pragma once

#include <functional>

struct evhttp_request;

namespace waxwing::http {

class server_connection;

/// A request that is not answered yet. Shared by its connection and its responder.
struct pending_request
{
    /// Connection of the request; null once it is answered or its connection is gone.
    server_connection *connection = nullptr;
    /// evhttp's request, valid while `connection` is set.
    evhttp_request *received = nullptr;
    /// Whether it is the first request on its connection.
    bool first = false;
    /// Called once if the peer goes away before the response.
    std::function<void()> onDisconnect;
};

} // namespace waxwing::http
