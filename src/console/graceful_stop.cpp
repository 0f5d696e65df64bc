#include "console/graceful_stop.h"

#include <csignal>

namespace waxwing {
namespace {

/// Time between two looks at the requests in progress.
constexpr std::chrono::milliseconds period{50};

} // namespace

graceful_stop::graceful_stop(event_base *base, http::server &server)
    : m_base(base), m_server(server)
{
    const auto onSignal = [](evutil_socket_t, short, void *self) {
        static_cast<graceful_stop *>(self)->begin();
    };
    const auto onTimer = [](evutil_socket_t, short, void *self) {
        static_cast<graceful_stop *>(self)->check();
    };
    m_terminate.reset(event_new(base, SIGTERM, EV_SIGNAL | EV_PERSIST, onSignal, this));
    m_interrupt.reset(event_new(base, SIGINT, EV_SIGNAL | EV_PERSIST, onSignal, this));
    m_timer.reset(event_new(base, -1, EV_PERSIST, onTimer, this));
    event_add(m_terminate.get(), nullptr);
    event_add(m_interrupt.get(), nullptr);
}

void graceful_stop::begin()
{
    m_server.beginDrain();
    const timeval interval{0, std::chrono::microseconds(period).count()};
    event_add(m_timer.get(), &interval);
}

void graceful_stop::check()
{
    m_left -= period;
    if (m_server.requestsInProgress() == 0 || m_left.count() <= 0)
        event_base_loopbreak(m_base);
}

} // namespace waxwing
