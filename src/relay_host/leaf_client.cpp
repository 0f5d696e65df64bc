#include "relay_host/leaf_client.h"

#include <utility>

namespace waxwing::relay {

leaf_client::leaf_client(event_base *base, const clock &time,
                         const http::client_pool_settings &settings, const wire_codec &codec,
                         metrics_registry &metrics, relay_event_sink onEvent)
    : m_codec(codec),
      m_calls(
          base, time, settings, std::move(onEvent),
          [&codec](attempt_id attempt, http::raw_response response) {
              return leaf_answered{attempt, codec.readLeafReply(std::move(response))};
          },
          [](attempt_id attempt, leaf_failure reason) {
              return leaf_failed{attempt, reason};
          },
          [&metrics](const endpoint & /*peer*/) { metrics.count("relay_leaf_connections_total"); })
{ }

void leaf_client::limitMemory(memory_budget &memory)
{
    m_calls.connections().limitMemory(memory, memory_use::Servers);
}

void leaf_client::observeWrites(http::client_pool::write_observer onWritten)
{
    m_calls.connections().observeWrites(std::move(onWritten));
}

void leaf_client::observeDoubts(http::client_pool::doubt_observer onDoubt)
{
    m_calls.connections().observeDoubts(std::move(onDoubt));
}

void leaf_client::carryOut(const send_to_leaf &action)
{
    m_calls.connections().send(m_codec.formatLeafCall(action));
}

void leaf_client::carryOut(const cancel_attempt &action)
{
    m_calls.connections().cancel(action.attempt);
}

void leaf_client::carryOut(const close_idle_connections &action)
{
    m_calls.connections().forget(action.address);
}

} // namespace waxwing::relay
