#pragma once

#include "events/event.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace waxwing {

/// The event as one JSON line without the line end. Times are nanoseconds of the monotonic clock
/// and milliseconds of the wall clock.
std::string formatEvent(const event &input);

/// Reads a line of `formatEvent`. Fails with InvalidArgument for anything else.
absl::StatusOr<event> parseEvent(std::string_view line);

} // namespace waxwing
