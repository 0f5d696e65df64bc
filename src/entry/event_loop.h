#pragma once

#include "entry/entry_reducer.h"
#include "events/effect.h"
#include "events/event.h"
#include "loop/reducer_loop.h"

namespace waxwing {
/// Types and functions of an entry host for `reducer_loop`.
struct entry_host
{
    using state = entry_state;
    using event = waxwing::event;
    using body = event_body;
    using effect = waxwing::effect;

    static reduction reduce(entry_state current, const waxwing::event &input)
    {
        return entry_reducer::reduce(std::move(current), input);
    }
    /// Event that is posted when a deadline is reached.
    static event_body tickBody() { return tick{}; }
    /// Event that is posted on a stop signal.
    static event_body stopBody() { return stop_requested{}; }
};

/// Event loop of an entry host.
using event_loop = reducer_loop<entry_host>;

} // namespace waxwing
