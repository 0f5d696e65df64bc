#pragma once

#include <pcg_random.hpp>

namespace waxwing {

/// Random numbers of the reducers. Part of the state, so that a replay repeats them.
using random_engine = pcg32;

} // namespace waxwing
