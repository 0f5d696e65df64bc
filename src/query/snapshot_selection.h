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
/// with the most documents. Choices are kept until what is known about the servers changes.
class snapshot_selection
{
public:
    /// The snapshot for a new search of the service; empty if no server reported any yet. Forgets
    /// reports of `backends` that seem to be out of date if otherwise no snapshot is whole.
    std::optional<snapshot> choose(const std::shared_ptr<const configuration> &document,
                                   const service &target, backend_pool &backends, time_point now,
                                   wall_time wall);

    /// The snapshot for a search whose shard `refused` turned out to hold `at` on no replica. What
    /// the shard reported is newer than what other servers may have reported, so a snapshot that
    /// it has dropped is not chosen where another one may be whole.
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

/// Whether every replica of the shard that may work reported that it does not hold the snapshot.
bool isSnapshotGone(const service_id &service, const shard &part, const snapshot &wanted,
                    const backend_pool &backends, wall_time wall);

} // namespace waxwing
