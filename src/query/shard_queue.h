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

/// Shards that wait because all their replicas are at their concurrency limits, ordered by the
/// deadline of the search.
class shard_queue
{
public:
    using key = std::pair<service_id, shard_id>;

    /// Waiting shard of one search.
    struct entry
    {
        /// Deadline of the search.
        time_point deadline;
        /// Id of the search's request.
        std::uint64_t request = 0;
        /// Index of the shard in `running_search::shards`.
        std::size_t index = 0;

        auto operator<=>(const entry &) const = default;
    };

    /// Adds `waiting` to the queue of the shard; has no effect if it is queued already.
    void enqueue(const key &shard, const entry &waiting);
    /// Removes `waiting`; has no effect if it is not queued.
    void remove(const key &shard, const entry &waiting);
    /// Entry with the earliest deadline; empty if none waits for the shard.
    std::optional<entry> first(const key &shard) const;
    /// Whether no entry waits for any shard.
    bool isEmpty() const { return m_waiting.empty(); }

private:
    std::map<key, std::set<entry>> m_waiting;
};

} // namespace waxwing
