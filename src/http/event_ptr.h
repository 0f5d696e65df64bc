#pragma once

#include <event2/buffer.h>
#include <event2/event.h>

#include <csignal>
#include <memory>

namespace waxwing::http {

/// Makes writes to a connection that the peer has closed fail instead of ending the process.
/// libevent writes without MSG_NOSIGNAL, so the signal is ignored in the whole process.
inline void ignoreBrokenPipes()
{
    std::signal(SIGPIPE, SIG_IGN);
}

/// Frees an `event`.
struct event_deleter
{
    void operator()(::event *handle) const { event_free(handle); }
};

/// Owned libevent event.
using event_ptr = std::unique_ptr<::event, event_deleter>;

/// Frees an `evbuffer`.
struct evbuffer_deleter
{
    void operator()(evbuffer *handle) const { evbuffer_free(handle); }
};

/// Owned libevent buffer.
using evbuffer_ptr = std::unique_ptr<evbuffer, evbuffer_deleter>;

} // namespace waxwing::http
