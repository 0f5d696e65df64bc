#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace waxwing::standins {

/// Content of a file. Fails with NotFound if it cannot be read.
absl::StatusOr<std::string> readTextFile(const std::string &path);

} // namespace waxwing::standins
