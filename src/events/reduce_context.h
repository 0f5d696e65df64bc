#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "events/effect.h"

#include <cstdint>

namespace waxwing {

/// Context passed to the parts of the reducer while they handle one event. Valid only during that
/// event.
struct reduce_context
{
    time_point now;
    wall_time wall;
    /// Random engine of the state.
    random_engine &random;
    /// Last attempt number allocated by the state.
    std::uint64_t &lastAttempt;
    /// Effects of the event; the parts append to it.
    effect_list &effects;

    /// Allocates an attempt number.
    attempt_id nextAttempt() { return {++lastAttempt}; }
    void emit(effect action) { effects.push_back(std::move(action)); }
};

} // namespace waxwing
