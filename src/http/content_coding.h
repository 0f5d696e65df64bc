#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwing::http {

/// Name of the coding in `Accept-Encoding` and `Content-Encoding`.
inline constexpr std::string_view deflateCoding = "deflate";

/// Compresses a body with the coding `deflate` (RFC 9110: zlib format).
std::string deflated(std::string_view body);

/// Decompresses a body of at most `maxBytes` bytes. Fails with InvalidArgument if it is damaged,
/// incomplete or followed by other data, and with ResourceExhausted if it is larger.
absl::StatusOr<std::string> inflated(std::string_view body, std::size_t maxBytes);

} // namespace waxwing::http
