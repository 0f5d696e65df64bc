#include "entry/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>

namespace waxwing {
namespace {

/// Shortest time to a tick. Bounds the load of a deadline that stays in the past.
constexpr std::chrono::microseconds shortestWait{100};

} // namespace

event_loop::event_loop(event_base *base, const clock &time, entry_state state,
                       effect_handler carryOut, event_observer observe)
    : m_base(base), m_time(time), m_state(std::move(state)), m_carryOut(std::move(carryOut)),
      m_observe(std::move(observe)), m_timer(evtimer_new(m_base, &onTimer, this)),
      m_terminate(evsignal_new(m_base, SIGTERM, &onSignal, this)),
      m_interrupt(evsignal_new(m_base, SIGINT, &onSignal, this))
{
    event_add(m_terminate, nullptr);
    event_add(m_interrupt, nullptr);
}

event_loop::~event_loop()
{
    for (auto *each : {m_timer, m_terminate, m_interrupt})
        event_free(each);
}

void event_loop::post(event_body body)
{
    m_waiting.push_back(std::move(body));
    if (m_isHandling)
        return;
    m_isHandling = true;
    while (!m_waiting.empty()) {
        event_body next = std::move(m_waiting.front());
        m_waiting.pop_front();
        handle(std::move(next));
    }
    m_isHandling = false;
    scheduleTick();
}

void event_loop::handle(event_body body)
{
    m_last = std::max(m_last, m_time.now());
    const event input{m_last, m_time.wallNow(), std::move(body)};
    if (m_observe)
        m_observe(input);
    ++m_handled;
    reduction result = entry_reducer::reduce(std::move(m_state), input);
    m_state = std::move(result.state);
    for (const effect &action : result.effects)
        m_carryOut(action);
}

void event_loop::scheduleTick()
{
    const auto deadline = m_state.nextDeadline();
    if (!deadline) {
        event_del(m_timer);
        return;
    }
    const auto wait = std::max(
        std::chrono::ceil<std::chrono::microseconds>(*deadline - m_time.now()), shortestWait);
    constexpr std::int64_t perSecond = 1'000'000;
    const timeval interval{wait.count() / perSecond, wait.count() % perSecond};
    event_add(m_timer, &interval);
}

void event_loop::onTimer(int /*descriptor*/, short /*events*/, void *self)
{
    auto *loop = static_cast<event_loop *>(self);
    const auto deadline = loop->m_state.nextDeadline();
    // The timer of libevent counts from a cached time and may end too early.
    if (deadline && *deadline <= loop->m_time.now())
        loop->post(tick{});
    else
        loop->scheduleTick();
}

void event_loop::onSignal(int /*signal*/, short /*events*/, void *self)
{
    static_cast<event_loop *>(self)->post(stop_requested{});
}

} // namespace waxwing
