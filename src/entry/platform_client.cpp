#include "entry/platform_client.h"

#include "entry/platform_codec.h"
#include "entry/received_configuration.h"

namespace waxwing {
namespace {

/// Extra time for the response to a watch, beyond the requested wait.
constexpr std::chrono::milliseconds watchMargin{2000};

} // namespace

platform_client::platform_client(outgoing_http &connections, logger &log, endpoint platform,
                                 event_sink onEvent)
    : m_connections(connections), m_log(log), m_platform(std::move(platform)),
      m_onEvent(std::move(onEvent))
{ }

void platform_client::carryOut(const call_platform &action)
{
    const platform_call &call = action.call;
    const bool isWatch = call.method == platform_call::method_kind::Watch;
    const auto timeout = isWatch ? call.timeout + watchMargin : call.timeout;
    m_connections.send(m_platform, formatPlatformCall(call), timeout,
                       [this, attempt = action.attempt, call](const auto &outcome) {
                           platform_finished result{attempt, readPlatformResult(call, outcome), {}};
                           if (call.kind == "configuration" && !result.result.value.empty())
                               result.parsed =
                                   parseReceived(result.result.value, "platform", m_log);
                           m_onEvent(std::move(result));
                       });
}

} // namespace waxwing
