#pragma once

#include "entry/event_sink.h"
#include "entry/outgoing_http.h"
#include "events/effect.h"
#include "telemetry/logger.h"

namespace waxwing {

/// Client of the platform's object API.
class platform_client
{
public:
    /// `connections` and `log` must outlive the client, and `connections` must not run callbacks
    /// after the client is destroyed.
    platform_client(outgoing_http &connections, logger &log, endpoint platform, event_sink onEvent);

    /// Sends `platform_finished` on completion.
    void carryOut(const call_platform &action);

private:
    outgoing_http &m_connections;
    logger &m_log;
    endpoint m_platform;
    event_sink m_onEvent;
};

} // namespace waxwing
