#pragma once

#include <cstdint>
#include <string_view>

namespace waxwing {

/// 64-bit hash (XXH3) that is the same on every host and in every run.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace waxwing
