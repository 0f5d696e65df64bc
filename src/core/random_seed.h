#pragma once

#include <cstdint>

namespace waxwing {

/// A seed that differs from process to process.
std::uint64_t drawSeed();

} // namespace waxwing
