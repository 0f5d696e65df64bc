#pragma once

#include "backends/backend_pool.h"
#include "configuration/configuration.h"
#include "query/search_types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace waxwing {

/// Chooses the snapshot of a search: the newest one that every shard can serve, otherwise the one
/// with the most servable documents. Results are cached until the configuration or the state of the
/// servers changes.
class snapshot_selection
{
public:
    /// The snapshot for a new search of the service; empty if no server has reported one yet. If no
    /// snapshot is complete, discards reports in `backends` that seem to be out of date.
    std::optional<snapshot> choose(const std::shared_ptr<const configuration> &document,
                                   const service &target, backend_pool &backends, time_point now,
                                   wall_time wall);

    /// The snapshot for a search that found `at` on no replica of the shard `refused`. The reports
    /// of this shard are newer than those that other servers may have sent, so a snapshot that it
    /// has dropped is not chosen if another one may be complete.
    std::optional<snapshot> chooseAfterNotHeld(const std::shared_ptr<const configuration> &document,
                                               const service &target, backend_pool &backends,
                                               const shard &refused, const snapshot &at,
                                               time_point now, wall_time wall);

private:
    struct cached_choice
    {
        std::shared_ptr<const configuration> document;
        std::uint64_t knowledgeVersion = 0;
        std::optional<wall_time> validUntil;
        std::optional<snapshot> chosen;
    };

    std::map<service_id, cached_choice> m_cache;
};

/// Whether every usable replica of the shard reported that it does not hold the snapshot. False if
/// no replica is usable.
bool isSnapshotGone(const service_id &service, const shard &part, const snapshot &wanted,
                    const backend_pool &backends, wall_time wall);

} // namespace waxwing
