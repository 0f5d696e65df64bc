#pragma once

#include <cstddef>
#include <functional>

namespace waxwing {

/// Bytes of the heap that are in use.
std::size_t usedBytes();
/// Processor time of this thread while `work` runs, in microseconds.
double processorMicroseconds(const std::function<void()> &work);
/// Median of a few measurements.
double medianOf(const std::function<double()> &measure);

} // namespace waxwing
