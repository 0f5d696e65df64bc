#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace waxwing {
/// Parses JSON with at most 64 levels of nesting. Fails with InvalidArgument for deeper documents,
/// because serialising them recurses once per level and could overflow the stack, and for text that
/// is not JSON.
absl::StatusOr<nlohmann::json> parseBoundedJson(std::string_view text);

/// Whether the text is valid UTF-8 and can therefore be a JSON string.
bool isValidUtf8(std::string_view text);

} // namespace waxwing
