#pragma once

#include "bench/bench_result.h"

namespace waxwing {

/// Processor time and memory of an entry host against backend servers, members and searches in
/// progress; the figures that docs/CAPACITY.md extrapolates.
bench_results measureSlopes();

} // namespace waxwing
