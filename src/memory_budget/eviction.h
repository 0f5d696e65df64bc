#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwing {

/// A holder of bytes that could be ended.
struct eviction_candidate
{
    /// Number of the connection.
    std::uint64_t number = 0;
    /// Bytes that its end releases.
    std::size_t held = 0;
    /// Recent progress, in bytes a second.
    double rate = 0;

    bool operator==(const eviction_candidate &) const = default;
};

/// Chooses whom to end so that at least `bytes` are released, if that is possible without ending
/// anyone who holds no more than an equal share of what is left. Those whose bytes move the slowest
/// for their number go first.
std::vector<std::uint64_t> chooseEvictions(std::vector<eviction_candidate> candidates,
                                           std::size_t bytes);

} // namespace waxwing
