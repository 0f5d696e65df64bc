#pragma once

#include "http/event_ptr.h"

#include <memory>

namespace waxwing::standins {

/// Event loop of a process, which ends on SIGTERM and SIGINT.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// The loop.
    event_base *base() const { return m_base; }
    /// Runs until a signal arrives.
    void run() const;

private:
    event_base *m_base;
    http::event_ptr m_terminate;
    http::event_ptr m_interrupt;
};

} // namespace waxwing::standins
