#include "entry/backend_client.h"

#include "entry/leaf_codec.h"

#include <algorithm>

namespace waxwing {
namespace {
/// Timeout of cancellations and health polls. No caller waits for their responses.
constexpr std::chrono::milliseconds auxiliaryTimeout{1000};

http::request timedRequest(std::string path, std::string body, const trace_context &trace)
{
    http::request message{"POST", std::move(path), {}, {}, std::move(body), "Request-Timeout-Ms"};
    message.headers = {
        {"Content-Type", "application/json"},
        {"traceparent", trace.toHeader()},
    };
    return message;
}

} // namespace

backend_client::backend_client(outgoing_http &connections, metrics_registry &metrics,
                               const host_id &host, std::uint64_t incarnation, event_sink onEvent)
    : m_connections(connections), m_metrics(metrics),
      m_idPrefix(host.value + "-" + std::to_string(incarnation) + "-"),
      m_onEvent(std::move(onEvent))
{ }

void backend_client::carryOut(const send_leaf_search &action)
{
    const std::string id = requestId(action.attempt);
    const auto timeout = std::max(action.timeout, std::chrono::milliseconds(1));
    m_connections.send(
        action.address, timedRequest("/search", formatLeafSearch(id, action.search), action.trace),
        timeout, [this, id, attempt = action.attempt, search = action.search](const auto &outcome) {
            auto result = readLeafSearch(id, search, outcome);
            const auto *failure = std::get_if<leaf_failure>(&result);
            if (failure != nullptr && failure->error == leaf_error::Malformed)
                m_metrics.count("backend_malformed_replies_total");
            m_onEvent(leaf_search_finished{attempt, std::move(result)});
        });
}

void backend_client::carryOut(const send_leaf_command &action)
{
    const std::string id = requestId(action.attempt);
    const auto timeout = std::max(action.timeout, std::chrono::milliseconds(1));
    m_connections.send(
        action.address,
        timedRequest("/command", formatLeafCommand(id, action.command), action.trace), timeout,
        [this, id, attempt = action.attempt](const auto &outcome) {
            m_onEvent(leaf_command_finished{attempt, readLeafCommand(id, outcome)});
        });
}

void backend_client::carryOut(const cancel_leaf_search &action)
{
    const http::request message{"DELETE", "/requests/" + requestId(action.attempt), {}, {}, {}};
    m_connections.send(action.address, message, auxiliaryTimeout, [this](const auto &outcome) {
        if (std::holds_alternative<http::transport_failure>(outcome))
            m_metrics.count("backend_cancels_failed_total");
    });
}

void backend_client::carryOut(const poll_health &action)
{
    const http::request message{"GET", "/health", {}, {}, {}};
    m_connections.send(action.address, message, auxiliaryTimeout,
                       [this, server = action.server](const auto &outcome) {
                           const auto *reply = std::get_if<http::response>(&outcome);
                           auto health = reply == nullptr ? std::nullopt : readLeafHealth(*reply);
                           if (health)
                               m_onEvent(leaf_health_reported{server, std::move(*health)});
                           else
                               m_metrics.count("backend_health_polls_failed_total");
                       });
}

void backend_client::carryOut(const limit_connections &action)
{
    m_connections.setConnectionLimit(action.address, action.limit);
}

std::string backend_client::requestId(attempt_id attempt) const
{
    return m_idPrefix + std::to_string(attempt.value);
}

} // namespace waxwing
