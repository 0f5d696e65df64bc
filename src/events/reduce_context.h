#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "events/effect.h"

#include <cstdint>

namespace waxwing {

/// What a part of the reducer works with while it handles one event. Lives as long as the event.
struct reduce_context
{
    /// Monotonic time of the event.
    time_point now;
    /// Wall-clock time of the event.
    wall_time wall;
    /// Random engine of the state.
    random_engine &random;
    /// Last attempt number given out by the state.
    std::uint64_t &lastAttempt;
    /// Effects of the event so far; parts append to it.
    effect_list &effects;

    /// A new attempt number.
    attempt_id nextAttempt() { return {++lastAttempt}; }
    /// Appends an effect.
    void emit(effect action) { effects.push_back(std::move(action)); }
};

} // namespace waxwing
