#pragma once

#include "loop/loop_clock.h"

#include <event2/event.h>

namespace waxwing {

/// Runs the event loop pass by pass until it is told to exit or has no events left, and calls
/// `onPassEnd()` after each pass, when `time` knows how long it took.
template<typename Observer>
void runLoop(event_base *base, loop_clock &time, Observer onPassEnd)
{
    constexpr int onePass = EVLOOP_ONCE;
    constexpr int noEventsLeft = 1;
    int result = 0;
    while (result != noEventsLeft && event_base_got_exit(base) == 0
           && event_base_got_break(base) == 0) {
        time.beginPass();
        onPassEnd();
        result = event_base_loop(base, time.pollsOnly() ? onePass | EVLOOP_NONBLOCK : onePass);
    }
}

} // namespace waxwing
