#pragma once

#include "http/event_ptr.h"
#include "http/server.h"

#include <chrono>

namespace waxwing {

/// Ends an event loop on SIGTERM and SIGINT once the requests in progress are answered, at most
/// 30 s later.
class graceful_stop
{
public:
    /// `base` and `server` outlive this object.
    graceful_stop(event_base *base, http::server &server);
    graceful_stop(const graceful_stop &) = delete;
    graceful_stop &operator=(const graceful_stop &) = delete;

private:
    void begin();
    void check();

    event_base *m_base;
    http::server &m_server;
    std::chrono::milliseconds m_left{30'000};
    http::event_ptr m_terminate;
    http::event_ptr m_interrupt;
    http::event_ptr m_timer;
};

} // namespace waxwing
