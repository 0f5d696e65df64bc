#pragma once

#include <string>
#include <string_view>

namespace waxwing {

/// The JSON pointer (RFC 6901) `base` with one more reference token, escaped.
std::string appendToPointer(std::string base, std::string_view token);

/// The JSON pointer `base` with an array index.
std::string appendToPointer(std::string base, std::size_t index);

} // namespace waxwing
