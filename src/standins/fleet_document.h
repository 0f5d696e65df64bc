#pragma once

#include "configuration/configuration.h"

#include <absl/status/statusor.h>

#include <string_view>

namespace waxwing::standins {

/// Reads the backend servers and the partitionings of a configuration document. Independent of the
/// parser under test and less strict: other fields are ignored and the meaning is not checked.
absl::StatusOr<configuration> parseFleetDocument(std::string_view json);

} // namespace waxwing::standins
