#include "http/client_core.h"

#include "http/target.h"

#include <algorithm>
#include <utility>

namespace waxwing::http {
namespace {

client_pool_settings toPoolSettings(const client_settings &settings)
{
    client_pool_settings result;
    result.messages.bodyBytes = settings.maxBodyBytes;
    result.connectTimeout = settings.connectTimeout;
    result.idleTimeout = settings.idleTimeout;
    return result;
}

std::string format(const endpoint &peer, const request &message)
{
    raw_request result;
    result.method = message.method;
    result.target = formatTarget(message);
    result.headers = {{"Host", peer.toString()}};
    result.headers.insert(result.headers.end(), message.headers.begin(), message.headers.end());
    result.body = message.body;
    return formatRequest(result);
}

transport_failure toFailure(call_failure reason, const endpoint &peer)
{
    switch (reason) {
    case call_failure::ConnectFailed:
    case call_failure::DeadlinePassed:
        return {transport_error::ConnectFailed, "cannot connect to " + peer.toString()};
    case call_failure::NotAccepted:
    case call_failure::ConnectionLost:
        return {transport_error::ConnectionLost, "the connection broke before the whole response"};
    case call_failure::Malformed:
    case call_failure::NoRoom:
        break;
    }
    return {transport_error::Malformed, "the response is not HTTP or too large"};
}

} // namespace

client_core::client_core(event_base *base, const client_settings &settings)
    : m_base(base), m_settings(settings), m_leftover(event_new(base, -1, 0, onLeftover, this)),
      m_connections(
          base, m_time, toPoolSettings(settings),
          [this](attempt_id id, client_pool::outcome result) { onEnd(id, std::move(result)); },
          nullptr)
{
    ignoreBrokenPipes();
}

std::size_t client_core::limitOf(const endpoint &peer) const
{
    const auto known = m_limits.find(peer);
    return known == m_limits.end() ? m_settings.connectionsPerEndpoint : known->second;
}

void client_core::send(const endpoint &peer, const request &message,
                       std::chrono::milliseconds timeout, client::callback onDone)
{
    if (m_inUse[peer] >= limitOf(peer)) {
        complete(std::move(onDone),
                 transport_failure{transport_error::NoFreeConnection,
                                   "all connections to " + peer.toString() + " are in use"});
        return;
    }
    ++m_inUse[peer];
    const attempt_id id{++m_lastCall};
    auto call =
        std::make_unique<pending_call>(pending_call{this, id, peer, std::move(onDone), nullptr});
    call->timer.reset(event_new(m_base, -1, 0, onTimeout, call.get()));
    constexpr int msPerSecond = 1000;
    const auto left = std::max(timeout, std::chrono::milliseconds(0)).count();
    const timeval after{left / msPerSecond, left % msPerSecond * msPerSecond};
    event_add(call->timer.get(), &after);
    m_calls.emplace(id.value, std::move(call));
    http::call request{id, peer, format(peer, message), message.method == "HEAD", {}, {}};
    if (!message.timeoutField.empty())
        request.deadline = call_deadline{m_time.now() + timeout, message.timeoutField};
    m_connections.send(std::move(request));
}

void client_core::setLimit(const endpoint &peer, std::size_t limit)
{
    m_limits[peer] = limit;
    if (m_connections.connections(peer) > limit)
        m_connections.forget(peer);
}

void client_core::onTimeout(evutil_socket_t, short, void *call)
{
    const auto *overdue = static_cast<pending_call *>(call);
    client_core &core = *overdue->core;
    const bool sent = core.m_connections.isSent(overdue->id);
    const transport_failure failure = sent
        ? transport_failure{transport_error::Timeout, "no response in time"}
        : transport_failure{transport_error::ConnectFailed, "not connected in time"};
    const attempt_id id = overdue->id;
    // A late response must not meet the next request.
    core.m_connections.cancel(id);
    core.finish(id, failure);
}

void client_core::onEnd(attempt_id id, client_pool::outcome result)
{
    const auto known = m_calls.find(id.value);
    if (known == m_calls.end())
        return;
    if (auto *response = std::get_if<raw_response>(&result))
        finish(id, std::move(response->content));
    else
        finish(id, toFailure(std::get<call_failure>(result), known->second->peer));
}

void client_core::finish(attempt_id id, client::outcome result)
{
    const auto known = m_calls.find(id.value);
    const std::unique_ptr<pending_call> call = std::move(known->second);
    m_calls.erase(known);
    --m_inUse[call->peer];
    complete(std::move(call->onDone), std::move(result));
}

void client_core::complete(client::callback onDone, client::outcome result)
{
    m_completions.push_back({std::move(onDone), std::move(result)});
    event_active(m_leftover.get(), EV_TIMEOUT, 0);
}

void client_core::onLeftover(evutil_socket_t, short, void *self)
{
    static_cast<client_core *>(self)->runLeftovers();
}

void client_core::runLeftovers()
{
    const std::weak_ptr<bool> alive = m_alive;
    for (completion &done : std::exchange(m_completions, {})) {
        if (alive.expired())
            return;
        done.onDone(std::move(done.result));
    }
}

} // namespace waxwing::http
