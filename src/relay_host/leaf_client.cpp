#include "relay_host/leaf_client.h"

#include "relay_host/call_failure.h"

#include <utility>

namespace waxwing::relay {
leaf_client::leaf_client(event_base *base, const clock &time,
                         const http::client_pool_settings &settings, const wire_codec &codec,
                         metrics_registry &metrics, relay_event_sink onEvent)
    : m_codec(codec), m_onEvent(std::move(onEvent)),
      m_connections(
          base, time, settings,
          [this](attempt_id attempt, http::client_pool::outcome outcome) {
              report(attempt, std::move(outcome));
          },
          [&metrics](const endpoint & /*peer*/) { metrics.count("relay_leaf_connections_total"); })
{ }

void leaf_client::observeWrites(http::client_pool::write_observer onWritten)
{
    m_connections.observeWrites(std::move(onWritten));
}

void leaf_client::carryOut(const send_to_leaf &action)
{
    m_connections.send(m_codec.formatLeafCall(action));
}

void leaf_client::carryOut(const cancel_attempt &action)
{
    m_connections.cancel(action.attempt);
}

void leaf_client::carryOut(const close_idle_connections &action)
{
    m_connections.forget(action.address);
}

void leaf_client::report(attempt_id attempt, http::client_pool::outcome outcome)
{
    if (auto *response = std::get_if<http::raw_response>(&outcome))
        m_onEvent(leaf_answered{attempt, m_codec.readLeafReply(std::move(*response))});
    else
        m_onEvent(leaf_failed{attempt, toLeafFailure(std::get<http::call_failure>(outcome))});
}

} // namespace waxwing::relay
