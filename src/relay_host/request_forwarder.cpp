#include "relay_host/request_forwarder.h"

#include <utility>

namespace waxwing::relay {
namespace {

http::client_pool_settings poolSettings()
{
    http::client_pool_settings result;
    // Room for the signatures of hundreds of parts, and for the longest answers of servers.
    result.messages.headerBytes = std::size_t{256} * 1024;
    result.messages.bodyBytes = std::size_t{4} * 1024 * 1024;
    // A few round trips to another region; the next host is tried after it.
    result.connectTimeout = std::chrono::milliseconds(200);
    return result;
}

} // namespace

request_forwarder::request_forwarder(event_base *base, const clock &time, const wire_codec &codec,
                                     relay_event_sink onEvent)
    : m_codec(codec), m_onEvent(onEvent),
      m_calls(
          base, time, poolSettings(), std::move(onEvent),
          [&codec](attempt_id attempt, http::raw_response response) {
              return codec.readForwardedAnswer(attempt, std::move(response));
          },
          [](attempt_id attempt, leaf_failure reason) {
              return forward_failed{attempt, reason};
          },
          {})
{
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
