#pragma once

#include "core/clock.h"
#include "entry/entry_reducer.h"
#include "events/effect.h"
#include "events/event.h"

#include <deque>
#include <event2/event.h>
#include <functional>

namespace waxwing {

/// Feeds events to the reducer one after the other and hands its effects on. Sends a `tick` at the
/// next deadline of the state and `stop_requested` on SIGTERM and SIGINT.
class event_loop
{
public:
    /// Carries out one effect.
    using effect_handler = std::function<void(const effect &)>;
    /// Sees each event before it is handled.
    using event_observer = std::function<void(const event &)>;

    /// `base` and `time` must outlive the loop. `observe` may be empty.
    event_loop(event_base *base, const clock &time, entry_state state, effect_handler carryOut,
               event_observer observe);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Handles an event now, or after the current one if called from within an effect.
    void post(event_body body);
    /// The state after the last event.
    const entry_state &state() const { return m_state; }
    /// Events handled.
    std::uint64_t handledEvents() const { return m_handled; }

private:
    static void onTimer(int descriptor, short events, void *self);
    static void onSignal(int signal, short events, void *self);
    void handle(event_body body);
    void scheduleTick();

    event_base *m_base;
    const clock &m_time;
    entry_state m_state;
    effect_handler m_carryOut;
    event_observer m_observe;
    std::deque<event_body> m_waiting;
    bool m_isHandling = false;
    std::uint64_t m_handled = 0;
    time_point m_last{};
    struct ::event *m_timer;
    struct ::event *m_terminate;
    struct ::event *m_interrupt;
};

} // namespace waxwing
