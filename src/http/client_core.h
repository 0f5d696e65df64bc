#pragma once

#include "core/clock.h"
#include "http/client.h"
#include "http/client_pool.h"
#include "http/event_ptr.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace waxwing::http {

/// State of a `client`: calls in progress over the connections of an `client_pool`, their
/// deadlines, and what is left to do on a clean stack.
class client_core
{
public:
    client_core(event_base *base, const client_settings &settings);

    /// See `client::send`.
    void send(const endpoint &peer, const request &message, std::chrono::milliseconds timeout,
              client::callback onDone);
    /// See `client::setConnectionLimit`.
    void setLimit(const endpoint &peer, std::size_t limit);
    /// See `client::connections`.
    std::size_t connections(const endpoint &peer) const { return m_connections.connections(peer); }

private:
    /// Call in progress.
    struct pending_call
    {
        client_core *core;
        attempt_id id;
        endpoint peer;
        client::callback onDone;
        event_ptr timer;
    };
    /// An outcome that was not passed on yet.
    struct completion
    {
        client::callback onDone;
        client::outcome result;
    };

    static void onTimeout(evutil_socket_t socket, short what, void *call);
    static void onLeftover(evutil_socket_t socket, short what, void *self);
    void onEnd(attempt_id id, client_pool::outcome result);
    void finish(attempt_id id, client::outcome result);
    void complete(client::callback onDone, client::outcome result);
    void runLeftovers();
    std::size_t limitOf(const endpoint &peer) const;

    event_base *m_base;
    client_settings m_settings;
    system_clock m_time;
    event_ptr m_leftover;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, std::unique_ptr<pending_call>> m_calls;
    std::map<endpoint, std::size_t> m_limits;
    std::map<endpoint, std::size_t> m_inUse;
    std::vector<completion> m_completions;
    client_pool m_connections;
    /// Guards against a callback that destroys the client.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace waxwing::http
