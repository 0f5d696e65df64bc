#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace waxwing {

/// Actions in order of virtual time; actions of the same time run in the order of scheduling.
class event_queue
{
public:
    /// Handle of an action.
    using key = std::pair<time_point, std::uint64_t>;

    /// Schedules an action.
    key schedule(time_point at, std::function<void()> action)
    {
        const key position{at, ++m_last};
        m_actions.emplace(position, std::move(action));
        return position;
    }
    /// Removes an action that has not run.
    void cancel(const key &position) { m_actions.erase(position); }
    /// Time of the next action.
    std::optional<time_point> nextTime() const
    {
        if (m_actions.empty())
            return std::nullopt;
        return m_actions.begin()->first.first;
    }
    /// Runs the next action.
    void runNext()
    {
        auto next = m_actions.extract(m_actions.begin());
        next.mapped()();
    }

private:
    std::map<key, std::function<void()>> m_actions;
    std::uint64_t m_last = 0;
};

} // namespace waxwing
