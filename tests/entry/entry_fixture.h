#pragma once

#include "events/reduce_context.h"

#include <memory>
#include <vector>

namespace waxwing {

/// Virtual time and collected effects for the parts of an entry host.
struct entry_fixture
{
    /// Current time.
    time_point now{std::chrono::hours(1)};
    /// Random numbers.
    random_engine random{1};
    /// Last attempt number.
    std::uint64_t lastAttempt = 0;
    /// Effects since they were last cleared.
    effect_list effects;

    /// Context of an event now.
    reduce_context context()
    {
        return {now, wall_time(std::chrono::hours(1)), random, lastAttempt, effects};
    }

    /// Effects of one kind, in order.
    template<typename Effect>
    std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const effect &each : effects)
            if (const auto *match = std::get_if<Effect>(&each))
                found.push_back(*match);
        return found;
    }
};

} // namespace waxwing
