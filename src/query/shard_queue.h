#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace waxwing {

/// Shards of searches that wait because all their replicas are at their limits, in the order of
/// the deadlines of the searches.
class shard_queue
{
public:
    /// Shard of a service.
    using key = std::pair<service_id, shard_id>;

    /// Shard of a search that waits.
    struct entry
    {
        /// Deadline of the search.
        time_point deadline;
        /// Number of the search.
        std::uint64_t request = 0;
        /// Index of the shard in the search.
        std::size_t index = 0;

        auto operator<=>(const entry &) const = default;
    };

    /// Adds a shard that waits.
    void enqueue(const key &shard, const entry &waiting);
    /// Removes a shard that waits no longer.
    void remove(const key &shard, const entry &waiting);
    /// The shard that is next; empty if none waits.
    std::optional<entry> first(const key &shard) const;
    /// Whether no shard at all waits.
    bool isEmpty() const { return m_waiting.empty(); }

private:
    std::map<key, std::set<entry>> m_waiting;
};

} // namespace waxwing
