#pragma once

#include "http/client.h"
#include "http/client_connection.h"
#include "http/event_ptr.h"

#include <map>
#include <memory>
#include <vector>

namespace waxwing::http {

/// State of a `client`: its connections by endpoint, and what is left to do on a clean stack.
class client_core
{
public:
    client_core(event_base *base, const client_settings &settings);

    /// See `client::send`.
    void send(client_request message);
    /// See `client::setConnectionLimit`.
    void setLimit(const endpoint &peer, std::size_t limit);
    /// See `client::connections`.
    std::size_t connections(const endpoint &peer) const;

    /// Loop of the client.
    event_base *base() const { return m_base; }
    /// Limits.
    const client_settings &settings() const { return m_settings; }
    /// Calls back from the loop.
    void complete(client::callback onDone, client::outcome result);
    /// Sends a request of which nothing was sent once more, from the loop.
    void resend(client_request message);
    /// Takes a closed connection out of the pool; destroyed from the loop, because evhttp may
    /// still use it.
    void discard(client_connection *connection);

private:
    /// Connections to one endpoint.
    struct pool
    {
        /// Largest number of connections.
        std::size_t limit;
        /// Connections; the last used one is at the end.
        std::vector<std::unique_ptr<client_connection>> connections;
    };

    /// An outcome that was not passed on yet.
    struct completion
    {
        client::callback onDone;
        client::outcome result;
    };

    static void onLeftover(evutil_socket_t socket, short what, void *self);
    void runLeftovers();
    pool &poolOf(const endpoint &peer);
    client_connection *takeIdle(pool &peers);

    event_base *m_base;
    client_settings m_settings;
    event_ptr m_leftover;
    std::map<endpoint, pool> m_pools;
    std::vector<completion> m_completions;
    std::vector<client_request> m_resends;
    std::vector<std::unique_ptr<client_connection>> m_discarded;
    /// Guards against a callback that destroys the client.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace waxwing::http
