#pragma once

#include "entry/outgoing_http.h"

namespace waxwing {

/// Sends requests over the connection pool of `http::client`.
class pooled_http final : public outgoing_http
{
public:
    pooled_http(event_base *base, const http::client_settings &settings);

    void send(const endpoint &peer, const http::request &message, std::chrono::milliseconds timeout,
              http::client::callback onDone) override;
    void setConnectionLimit(const endpoint &peer, std::size_t limit) override;

private:
    http::client m_client;
};

} // namespace waxwing
