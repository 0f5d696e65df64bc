#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace waxwing {

/// The JSON pointer (RFC 6901) `base` with one more reference token, escaped.
std::string appendToPointer(std::string base, std::string_view token);

/// The JSON pointer `base` with an array index.
std::string appendToPointer(std::string base, std::size_t index);

/// The JSON pointer with the ids of array elements instead of their positions in `document`.
/// Positions of elements without an id stay.
std::string withIds(const std::string &pointer, const nlohmann::json &document);

} // namespace waxwing
