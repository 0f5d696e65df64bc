#include "relay_host/event_client.h"

#include "relay_host/call_failure.h"

#include <utility>

namespace waxwing::relay {

event_client::event_client(event_base *base, const clock &time,
                           const http::client_pool_settings &settings, relay_event_sink onEvent,
                           response_reader onResponse, failure_reader onFailure,
                           http::client_pool::connect_observer onConnect)
    : m_onEvent(std::move(onEvent)), m_onResponse(std::move(onResponse)),
      m_onFailure(std::move(onFailure)),
      m_connections(
          base, time, settings,
          [this](attempt_id attempt, http::client_pool::outcome outcome) {
              report(attempt, std::move(outcome));
          },
          std::move(onConnect))
{ }

void event_client::report(attempt_id attempt, http::client_pool::outcome outcome) const
{
    if (auto *response = std::get_if<http::raw_response>(&outcome))
        m_onEvent(m_onResponse(attempt, std::move(*response)));
    else
        m_onEvent(m_onFailure(attempt, toLeafFailure(std::get<http::call_failure>(outcome))));
}

} // namespace waxwing::relay
