#pragma once

#include "events/reduce_context.h"

#include <memory>
#include <vector>

namespace waxwing {
/// Virtual time and recorded effects for unit tests of the parts of an entry host.
struct entry_fixture
{
    /// Virtual time; advanced by the test.
    time_point now{std::chrono::hours(1)};
    random_engine random{1};
    /// Last attempt number that was assigned.
    std::uint64_t lastAttempt = 0;
    /// Effects since they were last cleared.
    effect_list effects;

    /// Context of an event at `now`. Refers to the fixture.
    reduce_context context()
    {
        return {now, wall_time(std::chrono::hours(1)), random, lastAttempt, effects};
    }

    /// Returns the effects of one type, in order.
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
