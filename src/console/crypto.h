#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing {

/// HMAC-SHA-256 of the text, in hexadecimal digits.
std::string hmacSha256(std::string_view key, std::string_view text);

/// PBKDF2 with HMAC-SHA-256, in hexadecimal digits.
std::string derivePasswordHash(std::string_view password, std::string_view salt,
                               std::uint32_t iterations);

/// Compares in a time that does not depend on where the texts differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// `bytes` random bytes, in hexadecimal digits.
std::string randomHex(std::size_t bytes);

} // namespace waxwing
