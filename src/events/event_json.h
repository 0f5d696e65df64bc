#pragma once

#include "events/event.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace waxwing {

/// Formats an event as one line of JSON without a line terminator. Times are nanoseconds of the
/// monotonic clock and milliseconds of the wall clock.
std::string formatEvent(const event &input);

/// Parses a line written by `formatEvent`. Fails with InvalidArgument for any other input.
absl::StatusOr<event> parseEvent(std::string_view line);

} // namespace waxwing
