#pragma once

#include "backends/backend_pool.h"
#include "core/clock.h"
#include "query/search_types.h"

#include <vector>

namespace waxwing {

/// Snapshots that one server last reported for each of its shards.
class held_snapshots
{
public:
    /// Stores the snapshots reported in a reply. Returns whether the stored report changed.
    bool setFromReply(const service_id &service, const shard_id &shard,
                      const std::vector<snapshot> &held, time_point now);
    /// Stores a health report, unless a reply reported snapshots of the shard within the last
    /// `replyOutweighs`. Returns whether the stored report changed.
    bool setFromHealth(const leaf_health::held_shard &reported,
                       std::chrono::milliseconds replyOutweighs, time_point now);
    /// Removes the report for the shard if all its snapshots are older than `oldest`. Returns
    /// whether a report was removed.
    bool forgetBefore(const service_id &service, const shard_id &shard, const snapshot &oldest);
    /// Availability of the snapshot of the shard; `Unknown` without a report for the shard.
    snapshot_availability snapshotAvailability(const service_id &service, const shard_id &shard,
                                               const snapshot &wanted) const;
    /// Snapshots reported for the shard, or null without a report. Valid until the next change.
    const std::vector<snapshot> *find(const service_id &service, const shard_id &shard) const;

private:
    struct entry
    {
        service_id service;
        shard_id shard;
        std::vector<snapshot> held;
        std::optional<time_point> repliedAt;
    };

    entry &at(const service_id &service, const shard_id &shard, bool &added);

    // A server holds only a few shards, so a linear search is faster than a map.
    std::vector<entry> m_entries;
};

} // namespace waxwing
