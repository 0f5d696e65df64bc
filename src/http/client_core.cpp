#include "http/client_core.h"

#include <algorithm>

namespace waxwing::http {

client_core::client_core(event_base *base, const client_settings &settings)
    : m_base(base), m_settings(settings), m_leftover(event_new(base, -1, 0, onLeftover, this))
{
    ignoreBrokenPipes();
}

client_core::pool &client_core::poolOf(const endpoint &peer)
{
    return m_pools.try_emplace(peer, pool{m_settings.connectionsPerEndpoint, {}}).first->second;
}

void client_core::send(client_request message)
{
    pool &peers = poolOf(message.peer);
    client_connection *connection = takeIdle(peers);
    if (connection == nullptr && peers.connections.size() >= peers.limit) {
        complete(
            std::move(message.onDone),
            transport_failure{transport_error::NoFreeConnection,
                              "all connections to " + message.peer.toString() + " are in use"});
        return;
    }
    if (connection == nullptr) {
        peers.connections.push_back(std::make_unique<client_connection>(*this, message.peer));
        connection = peers.connections.back().get();
    }
    connection->start(std::move(message));
}

client_connection *client_core::takeIdle(pool &peers)
{
    // The last used connection first, so that surplus ones reach their idle timeout.
    for (std::size_t i = peers.connections.size(); i-- > 0;) {
        client_connection *connection = peers.connections[i].get();
        if (!connection->isIdle())
            continue;
        if (connection->isUsable()) {
            const auto position = peers.connections.begin() + static_cast<std::ptrdiff_t>(i);
            std::rotate(position, position + 1, peers.connections.end());
            return connection;
        }
        discard(connection);
    }
    return nullptr;
}

void client_core::setLimit(const endpoint &peer, std::size_t limit)
{
    pool &peers = poolOf(peer);
    peers.limit = limit;
    for (std::size_t i = peers.connections.size(); i-- > 0 && peers.connections.size() > limit;) {
        if (peers.connections[i]->isIdle())
            discard(peers.connections[i].get());
    }
}

std::size_t client_core::connections(const endpoint &peer) const
{
    const auto found = m_pools.find(peer);
    return found == m_pools.end() ? 0 : found->second.connections.size();
}

void client_core::complete(client::callback onDone, client::outcome result)
{
    m_completions.push_back({std::move(onDone), std::move(result)});
    event_active(m_leftover.get(), EV_TIMEOUT, 0);
}

void client_core::resend(client_request message)
{
    m_resends.push_back(std::move(message));
    event_active(m_leftover.get(), EV_TIMEOUT, 0);
}

void client_core::discard(client_connection *connection)
{
    auto &pooled = poolOf(connection->peer()).connections;
    const auto found = std::find_if(pooled.begin(), pooled.end(), [connection](const auto &entry) {
        return entry.get() == connection;
    });
    if (found == pooled.end())
        return;
    m_discarded.push_back(std::move(*found));
    pooled.erase(found);
    event_active(m_leftover.get(), EV_TIMEOUT, 0);
}

void client_core::onLeftover(evutil_socket_t, short, void *self)
{
    static_cast<client_core *>(self)->runLeftovers();
}

void client_core::runLeftovers()
{
    std::exchange(m_discarded, {}).clear();
    for (client_request &message : std::exchange(m_resends, {}))
        send(std::move(message));
    const std::weak_ptr<bool> alive = m_alive;
    for (completion &done : std::exchange(m_completions, {})) {
        if (alive.expired())
            return;
        done.onDone(std::move(done.result));
    }
}

} // namespace waxwing::http
