#include "entry/pooled_http.h"

namespace waxwing {

pooled_http::pooled_http(event_base *base, const http::client_settings &settings)
    : m_client(base, settings)
{ }

void pooled_http::send(const endpoint &peer, const http::request &message,
                       std::chrono::milliseconds timeout, http::client::callback onDone)
{
    m_client.send(peer, message, timeout, std::move(onDone));
}

void pooled_http::setConnectionLimit(const endpoint &peer, std::size_t limit)
{
    m_client.setConnectionLimit(peer, limit);
}

} // namespace waxwing
