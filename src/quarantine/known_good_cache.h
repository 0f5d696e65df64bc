#pragma once

#include "core/clock.h"

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/// Bounded memory of requests that backend servers answered. Two generations, the older of which
/// is dropped when the newer is full or old; used for look-ups only, never iterated.
class known_good_cache
{
public:
    /// Holds up to twice `generationSize` fingerprints, each for up to twice `generationTime`.
    known_good_cache(std::size_t generationSize, std::chrono::milliseconds generationTime);

    /// Remembers a fingerprint.
    void add(std::uint64_t fingerprint, time_point now);
    /// Forgets a fingerprint.
    void remove(std::uint64_t fingerprint);
    /// Whether the fingerprint is remembered.
    bool contains(std::uint64_t fingerprint) const;

private:
    std::size_t m_generationSize;
    std::chrono::milliseconds m_generationTime;
    time_point m_generationStart;
    absl::flat_hash_set<std::uint64_t> m_newer;
    absl::flat_hash_set<std::uint64_t> m_older;
};

} // namespace waxwing
