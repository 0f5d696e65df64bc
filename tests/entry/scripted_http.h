#pragma once

#include "entry/outgoing_http.h"

#include <map>
#include <vector>

namespace waxwing {

/// HTTP client that holds requests until the test responds to them.
class scripted_http final : public outgoing_http
{
public:
    /// Request without a response so far.
    struct sent_request
    {
        endpoint peer;
        http::request message;
        std::chrono::milliseconds timeout{0};
        http::client::callback onDone;
    };

    void send(const endpoint &peer, const http::request &message, std::chrono::milliseconds timeout,
              http::client::callback onDone) override
    {
        sent.push_back({peer, message, timeout, std::move(onDone)});
    }
    void setConnectionLimit(const endpoint &peer, std::size_t limit) override
    {
        limits[peer] = limit;
    }

    std::vector<sent_request> sent;
    std::map<endpoint, std::size_t> limits;
};

} // namespace waxwing
