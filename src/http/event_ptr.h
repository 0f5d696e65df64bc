#pragma once

#include <event2/buffer.h>
#include <event2/event.h>

#include <memory>

namespace waxwing::http {

/// Frees an `event`.
struct event_deleter
{
    void operator()(event *handle) const { event_free(handle); }
};

/// Owned libevent event.
using event_ptr = std::unique_ptr<event, event_deleter>;

/// Frees an `evbuffer`.
struct evbuffer_deleter
{
    void operator()(evbuffer *handle) const { evbuffer_free(handle); }
};

/// Owned libevent buffer.
using evbuffer_ptr = std::unique_ptr<evbuffer, evbuffer_deleter>;

} // namespace waxwing::http
