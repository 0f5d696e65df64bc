#include "standins/event_loop.h"

#include <csignal>

namespace waxwing::standins {
namespace {

void stop(evutil_socket_t, short, void *base)
{
    event_base_loopbreak(static_cast<event_base *>(base));
}

} // namespace

event_loop::event_loop()
    : m_base(event_base_new()),
      m_terminate(event_new(m_base, SIGTERM, EV_SIGNAL | EV_PERSIST, stop, m_base)),
      m_interrupt(event_new(m_base, SIGINT, EV_SIGNAL | EV_PERSIST, stop, m_base))
{
    http::ignoreBrokenPipes();
    event_add(m_terminate.get(), nullptr);
    event_add(m_interrupt.get(), nullptr);
}

event_loop::~event_loop()
{
    m_terminate.reset();
    m_interrupt.reset();
    event_base_free(m_base);
}

void event_loop::run() const
{
    event_base_dispatch(m_base);
}

} // namespace waxwing::standins
