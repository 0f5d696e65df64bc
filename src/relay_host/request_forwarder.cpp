#include "relay_host/request_forwarder.h"

#include "relay_host/call_failure.h"

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
    : m_codec(codec), m_onEvent(std::move(onEvent)),
      m_connections(base, time, poolSettings(),
                    [this](attempt_id attempt, http::client_pool::outcome outcome) {
                        report(attempt, std::move(outcome));
                    },
                    {})
{ }

void request_forwarder::carryOut(const forward_request &action)
{
    m_connections.send(m_codec.formatForwardedRequest(action));
}

void request_forwarder::carryOut(const cancel_forward &action)
{
    m_connections.cancel(action.attempt);
}

void request_forwarder::report(attempt_id attempt, http::client_pool::outcome outcome)
{
    if (auto *response = std::get_if<http::raw_response>(&outcome))
        m_onEvent(m_codec.readForwardedAnswer(attempt, std::move(*response)));
    else
        m_onEvent(forward_failed{attempt, toLeafFailure(std::get<http::call_failure>(outcome))});
}

} // namespace waxwing::relay
