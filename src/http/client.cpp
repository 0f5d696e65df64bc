#include "http/client.h"

#include "http/client_core.h"

namespace waxwing::http {

bool mayHaveBeenReceived(transport_error error)
{
    return error != transport_error::NoFreeConnection && error != transport_error::ConnectFailed;
}

client::client(event_base *base, client_settings settings)
    : m_core(std::make_unique<client_core>(base, settings))
{ }

client::~client() = default;

void client::send(const endpoint &peer, const request &message, std::chrono::milliseconds timeout,
                  callback onDone)
{
    m_core->send(peer, message, timeout, std::move(onDone));
}

void client::setConnectionLimit(const endpoint &peer, std::size_t limit)
{
    m_core->setLimit(peer, limit);
}

std::size_t client::connections(const endpoint &peer) const
{
    return m_core->connections(peer);
}

} // namespace waxwing::http
