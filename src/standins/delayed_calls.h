#pragma once

#include "core/clock.h"
#include "http/event_ptr.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace waxwing::standins {

/// Calls functions later on an event loop. Calls still due are forgotten on destruction.
class delayed_calls
{
public:
    /// Calls on the loop `base`, which outlives this object.
    explicit delayed_calls(event_base *base);
    ~delayed_calls();
    delayed_calls(const delayed_calls &) = delete;
    delayed_calls &operator=(const delayed_calls &) = delete;

    /// Calls `function` once after `delay`, never from within this call. Returns a handle.
    std::uint64_t after(duration delay, std::function<void()> function);
    /// Forgets a call; does nothing if it was made already.
    void cancel(std::uint64_t handle);
    /// Calls that are due.
    std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        delayed_calls *owner;
        std::uint64_t handle;
        std::function<void()> function;
        http::event_ptr timer;
    };

    static void onTimer(evutil_socket_t socket, short what, void *argument);

    event_base *m_base;
    std::uint64_t m_next = 1;
    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace waxwing::standins
