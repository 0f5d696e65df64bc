#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace waxwing {

/// Parses JSON that is nested at most 64 deep. Deeper documents are refused, because writing them
/// recurses once for each level and could exhaust the stack.
absl::StatusOr<nlohmann::json> parseBoundedJson(std::string_view text);

/// Whether the text is valid UTF-8 and can be put into a JSON document.
bool isValidUtf8(std::string_view text);

} // namespace waxwing
