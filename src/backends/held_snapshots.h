#pragma once

#include "backends/backend_pool.h"
#include "core/clock.h"
#include "query/search_types.h"

#include <vector>

namespace waxwing {

/// Snapshots that one server reported for each of its shards.
class held_snapshots
{
public:
    /// Takes over a report of a reply. Returns whether it changed anything.
    bool setFromReply(const service_id &service, const shard_id &shard,
                      const std::vector<snapshot> &held, time_point now);
    /// Takes over a health report, unless a reply within `replyOutweighs` said something about the
    /// shard. Returns whether it changed anything.
    bool setFromHealth(const leaf_health::held_shard &reported,
                       std::chrono::milliseconds replyOutweighs, time_point now);
    /// Forgets a report for the shard that has only snapshots older than `oldest`. Returns whether
    /// there was one.
    bool forgetBefore(const service_id &service, const shard_id &shard, const snapshot &oldest);
    /// What is known about the snapshot of the shard.
    snapshot_availability snapshotAvailability(const service_id &service, const shard_id &shard,
                                               const snapshot &wanted) const;
    /// Snapshots reported for the shard, or null if nothing was reported.
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

    // A server holds a few shards; a search of the list is faster than a map.
    std::vector<entry> m_entries;
};

} // namespace waxwing
