#pragma once

#include "core/clock.h"

#include <event2/event.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <csignal>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

namespace waxwing {

/// Requirements for the types and functions of a host that is implemented as a reducer.
template<typename Host>
concept reduced_host = requires(typename Host::state state, const typename Host::event &input)
{
    typename Host::body;
    typename Host::effect;
    {
        state.nextDeadline()
        } -> std::convertible_to<std::optional<time_point>>;
    {
        Host::reduce(std::move(state), input).state
        } -> std::convertible_to<typename Host::state>;
    {
        Host::tickBody()
        } -> std::convertible_to<typename Host::body>;
    {
        Host::stopBody()
        } -> std::convertible_to<typename Host::body>;
};

/// Passes events to a reducer in sequence and executes its effects. Posts a tick at the next
/// deadline of the state and a stop event on SIGTERM and SIGINT.
template<reduced_host Host>
class reducer_loop
{
public:
    /// Content of an event without its time.
    using body = typename Host::body;
    /// Executes one effect.
    using effect_handler = std::function<void(const typename Host::effect &)>;
    /// Called with each event before it is handled.
    using event_observer = std::function<void(const typename Host::event &)>;

    /// `base` and `time` must outlive the loop. `observe` may be empty.
    reducer_loop(event_base *base, const clock &time, typename Host::state state,
                 effect_handler execute, event_observer observe)
        : m_base(base), m_time(time), m_state(std::move(state)), m_execute(std::move(execute)),
          m_observe(std::move(observe)), m_timer(evtimer_new(m_base, &onTimer, this)),
          m_terminate(evsignal_new(m_base, SIGTERM, &onSignal, this)),
          m_interrupt(evsignal_new(m_base, SIGINT, &onSignal, this))
    {
        event_add(m_terminate, nullptr);
        event_add(m_interrupt, nullptr);
    }
    ~reducer_loop()
    {
        for (auto *each : {m_timer, m_terminate, m_interrupt})
            event_free(each);
    }
    reducer_loop(const reducer_loop &) = delete;
    reducer_loop &operator=(const reducer_loop &) = delete;

    /// Handles an event immediately, or after the events already queued if called while one is
    /// handled.
    void post(body content)
    {
        m_queue.push_back(std::move(content));
        if (m_isHandling)
            return;
        m_isHandling = true;
        while (!m_queue.empty()) {
            body next = std::move(m_queue.front());
            m_queue.pop_front();
            handle(std::move(next));
        }
        m_isHandling = false;
        scheduleTick();
    }
    /// State after the last event.
    const typename Host::state &state() const { return m_state; }
    /// Number of events handled.
    std::uint64_t handledEvents() const { return m_handled; }

private:
    /// Minimum time to a tick. Bounds the load if a deadline remains in the past.
    static constexpr std::chrono::microseconds shortestWait{100};

    static void onTimer(int /*descriptor*/, short /*events*/, void *self)
    {
        auto *loop = static_cast<reducer_loop *>(self);
        const std::optional<time_point> deadline = loop->m_state.nextDeadline();
        loop->m_scheduled.reset();
        // libevent timers start from a cached time and can fire too early.
        if (deadline.has_value() && *deadline <= loop->m_time.now())
            loop->post(Host::tickBody());
        else
            loop->scheduleTick();
    }

    static void onSignal(int /*signal*/, short /*events*/, void *self)
    {
        static_cast<reducer_loop *>(self)->post(Host::stopBody());
    }

    void handle(body content)
    {
        m_last = std::max(m_last, m_time.now());
        const typename Host::event input{m_last, m_time.wallNow(), std::move(content)};
        if (m_observe)
            m_observe(input);
        ++m_handled;
        auto result = Host::reduce(std::move(m_state), input);
        m_state = std::move(result.state);
        for (const auto &action : result.effects)
            m_execute(action);
    }

    void scheduleTick()
    {
        const std::optional<time_point> deadline = m_state.nextDeadline();
        if (deadline == m_scheduled)
            return;
        m_scheduled = deadline;
        if (!deadline.has_value()) {
            event_del(m_timer);
            return;
        }
        const auto wait = std::max(
            std::chrono::ceil<std::chrono::microseconds>(*deadline - m_time.now()), shortestWait);
        constexpr std::int64_t perSecond = 1'000'000;
        const timeval interval{wait.count() / perSecond, wait.count() % perSecond};
        event_add(m_timer, &interval);
    }

    event_base *m_base;
    const clock &m_time;
    typename Host::state m_state;
    effect_handler m_execute;
    event_observer m_observe;
    std::deque<body> m_queue;
    bool m_isHandling = false;
    std::uint64_t m_handled = 0;
    time_point m_last{};
    /// Deadline that the timer is set for.
    std::optional<time_point> m_scheduled;
    struct ::event *m_timer;
    struct ::event *m_terminate;
    struct ::event *m_interrupt;
};

} // namespace waxwing
