#include "relay_host/leaf_client.h"

#include <utility>

namespace waxwing::relay {

leaf_client::leaf_client(event_base *base, const clock &time,
                         const http::client_pool_settings &settings, const wire_codec &codec,
                         metrics_registry &metrics, relay_event_sink onEvent)
    : m_codec(codec), m_onEvent(onEvent),
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

void leaf_client::useForLargeAnswers(answer_pipes &pipes)
{
    connections().observeStreams(
        {[this, &pipes](const http::call &request, http::raw_response start,
                        std::optional<std::uint64_t> length) {
             return beginLargeAnswer(pipes, request.id, std::move(start), length);
         },
         [&pipes](attempt_id attempt, const std::string &bytes) { pipes.onBody(attempt, bytes); },
         [&pipes](attempt_id attempt, std::optional<http::call_failure> failure) {
             pipes.onServerEnd(attempt, failure);
         }});
}

bool leaf_client::beginLargeAnswer(const answer_pipes &pipes, attempt_id attempt,
                                   http::raw_response start, std::optional<std::uint64_t> length)
{
    leaf_reply reply = m_codec.readLeafReply(std::move(start));
    // Only an answer that ends the request may begin to reach its caller.
    if (!reply.isSuccess() || reply.signature.empty())
        return false;
    reply.rest = answer_rest{attempt, length};
    m_onEvent(leaf_answered{attempt, std::move(reply)});
    // The request may have ended before.
    if (!pipes.isOpen(attempt))
        connections().cancel(attempt);
    return true;
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
    http::call request = m_codec.formatLeafCall(action);
    request.mayStream = action.mayStream;
    connections().send(std::move(request));
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
