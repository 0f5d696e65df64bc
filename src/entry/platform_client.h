#pragma once

#include "entry/event_sink.h"
#include "entry/outgoing_http.h"
#include "events/effect.h"
#include "telemetry/logger.h"

namespace waxwing {

/// Calls the platform's object API and reports how the calls end.
class platform_client
{
public:
    /// `connections` and `log` must outlive the client, and no callback of `connections` may come
    /// after it.
    platform_client(outgoing_http &connections, logger &log, endpoint platform, event_sink onEvent);

    /// Ends with `platform_finished`.
    void carryOut(const call_platform &action);

private:
    outgoing_http &m_connections;
    logger &m_log;
    endpoint m_platform;
    event_sink m_onEvent;
};

} // namespace waxwing
