#pragma once

#include "loop/reducer_loop.h"
#include "relay/relay_reducer.h"

#include <functional>
#include <utility>

namespace waxwing::relay {

/// What `relay_loop` runs.
struct relay_loop_traits
{
    using state = relay_state;
    using event = relay_event;
    using body = relay_event_body;
    using effect = relay_effect;

    /// Handles one event.
    static relay_reduction reduce(relay_state current, const relay_event &input)
    {
        return relay_reducer::reduce(std::move(current), input);
    }
    /// The event of a deadline.
    static relay_event_body tickBody() { return tick{}; }
    /// The event of a request to stop.
    static relay_event_body stopBody() { return stop_requested{}; }
};

/// Loop of a relay host.
using relay_loop = reducer_loop<relay_loop_traits>;

/// Takes events from the shells. May be called from within an effect; the event is then handled
/// after the effects of the event before.
using relay_event_sink = std::function<void(relay_event_body)>;

} // namespace waxwing::relay
