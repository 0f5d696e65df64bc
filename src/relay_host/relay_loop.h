#pragma once

#include "loop/reducer_loop.h"
#include "relay/relay_reducer.h"

#include <functional>
#include <utility>

namespace waxwing::relay {

/// Binds the relay reducer to `reducer_loop`.
struct relay_loop_traits
{
    using state = relay_state;
    using event = relay_event;
    using body = relay_event_body;
    using effect = relay_effect;

    static relay_reduction reduce(relay_state current, const relay_event &input)
    {
        return relay_reducer::reduce(std::move(current), input);
    }
    /// Event that the loop posts when a deadline expires.
    static relay_event_body tickBody() { return tick{}; }
    /// Event that the loop posts when the process is asked to stop.
    static relay_event_body stopBody() { return stop_requested{}; }
};

/// Event loop of a relay host.
using relay_loop = reducer_loop<relay_loop_traits>;

/// Posts an event to the loop. May be called while an effect is carried out; the event is then
/// handled after all effects of the current event.
using relay_event_sink = std::function<void(relay_event_body)>;

} // namespace waxwing::relay
