#pragma once

#include "memory_budget/memory_budget.h"
#include "relay_host/event_client.h"
#include "relay_host/wire_codec.h"

#include <cstddef>
#include <string>

namespace waxwing::relay {

/// Forwards requests of callers to other hosts over pooled connections and posts the outcomes as
/// events.
class request_forwarder
{
public:
    /// Connections are opened from `localAddress`, by which other hosts recognise this one.
    /// `base`, `time`, `codec` and `memory` must outlive the forwarder.
    request_forwarder(event_base *base, const clock &time, const std::string &localAddress,
                      std::size_t bufferedAnswer, const wire_codec &codec, memory_budget &memory,
                      relay_event_sink onEvent);

    /// Posts `forward_answered` or `forward_failed` when the other host has answered or failed.
    void carryOut(const forward_request &action);
    /// Cancels a forwarded request by closing its connection.
    void carryOut(const cancel_forward &action);

private:
    const wire_codec &m_codec;
    relay_event_sink m_onEvent;
    event_client m_calls;
};

} // namespace waxwing::relay
