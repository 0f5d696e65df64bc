#pragma once

#include "bench/bench_result.h"

namespace waxwing {

/// Memory of a connection of a relay host, and the processor time of a request with and without a
/// budget of the bytes that it holds; the figures that docs/CAPACITY.md extrapolates.
bench_results measureConnections();

} // namespace waxwing
