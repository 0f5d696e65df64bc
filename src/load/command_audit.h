#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <cstdint>

struct event_base;

namespace waxwing {

/// Asks the backend stand-in which commands ran more than once. Runs the loop until it answers.
/// Fails with Unavailable if it does not answer, with DataLoss if the answer cannot be read.
absl::StatusOr<std::uint32_t> countDoubledCommands(event_base *base, const endpoint &control);

} // namespace waxwing
