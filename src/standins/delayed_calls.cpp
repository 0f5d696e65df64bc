#include "standins/delayed_calls.h"

#include <algorithm>

namespace waxwing::standins {

delayed_calls::delayed_calls(event_base *base) : m_base(base) { }

delayed_calls::~delayed_calls() = default;

std::uint64_t delayed_calls::after(duration delay, std::function<void()> function)
{
    const std::uint64_t handle = m_next++;
    entry &added = m_entries[handle];
    added.owner = this;
    added.handle = handle;
    added.function = std::move(function);
    added.timer.reset(event_new(m_base, -1, 0, onTimer, &added));
    const auto micros =
        std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::microseconds>(delay).count());
    constexpr std::int64_t perSecond = 1'000'000;
    const timeval wait{micros / perSecond, micros % perSecond};
    event_add(added.timer.get(), &wait);
    return handle;
}

void delayed_calls::cancel(std::uint64_t handle)
{
    m_entries.erase(handle);
}

void delayed_calls::onTimer(evutil_socket_t, short, void *argument)
{
    auto &due = *static_cast<entry *>(argument);
    const auto function = std::move(due.function);
    due.owner->m_entries.erase(due.handle);
    function();
}

} // namespace waxwing::standins
