#pragma once

#include "core/clock.h"

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/// Bounded cache of the fingerprints of requests that backend servers answered. It has two
/// generations; the older is dropped when the newer is full or expired. Used for look-ups only and
/// never iterated, because the hash order is not deterministic.
class known_good_cache
{
public:
    /// Holds up to 2 * `generationSize` fingerprints. Generations change only in `add`, at the
    /// earliest when one is full or `generationTime` old.
    known_good_cache(std::size_t generationSize, std::chrono::milliseconds generationTime);

    void add(std::uint64_t fingerprint, time_point now);
    void remove(std::uint64_t fingerprint);
    bool contains(std::uint64_t fingerprint) const;

private:
    std::size_t m_generationSize;
    std::chrono::milliseconds m_generationTime;
    time_point m_generationStart;
    absl::flat_hash_set<std::uint64_t> m_newer;
    absl::flat_hash_set<std::uint64_t> m_older;
};

} // namespace waxwing
