#include "relay_host/request_forwarder.h"

#include <utility>

namespace waxwing::relay {
namespace {

http::client_pool_settings poolSettings(const std::string &localAddress, std::size_t bufferedAnswer)
{
    http::client_pool_settings result;
    result.localAddress = localAddress;
    // Room for the signatures of hundreds of parts.
    result.messages.headerBytes = std::size_t{256} * 1024;
    result.messages.bodyBytes = bufferedAnswer;
    // A few round trips to another region; the next host is tried after it.
    result.connectTimeout = std::chrono::milliseconds(200);
    return result;
}

} // namespace

request_forwarder::request_forwarder(event_base *base, const clock &time,
                                     const std::string &localAddress, std::size_t bufferedAnswer,
                                     const wire_codec &codec, memory_budget &memory,
                                     relay_event_sink onEvent)
    : m_codec(codec), m_onEvent(onEvent),
      m_calls(
          base, time, poolSettings(localAddress, bufferedAnswer), std::move(onEvent),
          [&codec](attempt_id attempt, http::raw_response response) {
              return codec.readForwardedAnswer(attempt, std::move(response));
          },
          [](attempt_id attempt, leaf_failure reason) {
              return forward_failed{attempt, reason};
          },
          {})
{
    m_calls.connections().limitMemory(memory, memory_use::Hosts);
    m_calls.connections().observeInterim(
        [this](attempt_id attempt) { m_onEvent(forward_acknowledged{attempt}); });
}

void request_forwarder::carryOut(const forward_request &action)
{
    m_calls.connections().send(m_codec.formatForwardedRequest(action));
}

void request_forwarder::carryOut(const cancel_forward &action)
{
    m_calls.connections().cancel(action.attempt);
}

} // namespace waxwing::relay
