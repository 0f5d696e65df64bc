#pragma once

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace waxwing {

/// Parses an RFC 3339 time in UTC, such as `2027-03-31T22:00:00Z`, with at most milliseconds.
absl::StatusOr<wall_time> parseWallTime(std::string_view text);

/// The RFC 3339 text that `parseWallTime` takes.
std::string formatWallTime(wall_time time);

} // namespace waxwing
