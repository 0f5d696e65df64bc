#include "query/snapshot_selection.h"

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

/// Compares the snapshots of one service at one point in time.
class snapshot_chooser
{
public:
    snapshot_chooser(const service &target, const backend_pool &backends, time_point now,
                     wall_time wall)
        : m_service(target), m_backends(backends), m_now(now), m_wall(wall)
    { }

    /// The newest complete snapshot; otherwise the one with the most servable documents, and the
    /// newest of several such ones. Sets `complete` accordingly.
    std::optional<snapshot> best(bool &complete) const
    {
        std::optional<snapshot> largest;
        complete = false;
        std::uint64_t mostDocuments = 0;
        for (auto parts = m_service.partitionings.rbegin(); parts != m_service.partitionings.rend();
             ++parts) {
            const auto known = reportedSnapshots(*parts);
            for (auto candidate = known.rbegin(); candidate != known.rend(); ++candidate) {
                complete = true;
                const std::uint64_t documents = servableDocuments(*parts, *candidate, complete);
                if (complete)
                    return *candidate;
                if (!largest.has_value() || documents > mostDocuments) {
                    largest = *candidate;
                    mostDocuments = documents;
                }
            }
        }
        complete = false;
        return largest;
    }

    /// The oldest snapshot of the partitioning that no server is known to have dropped; empty if
    /// none is reported. Servers that are still being updated probably hold it.
    std::optional<snapshot> oldestRetained(std::uint32_t generation) const
    {
        std::optional<snapshot> retained;
        for (const shard &part : partsOf(generation).shards)
            retained = std::max(retained, oldestRetained(part, generation));
        return retained;
    }

    /// The same for the replicas of one shard.
    std::optional<snapshot> oldestRetained(const shard &part, std::uint32_t generation) const
    {
        std::optional<snapshot> retained;
        for (const server_id &replica : part.replicas)
            retained = std::max(retained, oldestReported(part, replica, generation));
        return retained;
    }

    /// Whether every shard with documents has a usable replica that holds or may hold the snapshot.
    bool isComplete(const snapshot &candidate) const
    {
        bool complete = true;
        servableDocuments(partsOf(candidate.partitioning), candidate, complete);
        return complete;
    }

    const partitioning &partsOf(std::uint32_t generation) const
    {
        return *std::find_if(
            m_service.partitionings.begin(), m_service.partitionings.end(),
            [&](const partitioning &parts) { return parts.generation == generation; });
    }

private:
    std::optional<snapshot> oldestReported(const shard &part, const server_id &replica,
                                           std::uint32_t generation) const
    {
        std::optional<snapshot> oldest;
        if (!m_backends.isAvailable(replica, m_wall))
            return oldest;
        for (const snapshot &held : m_backends.reportedSnapshots(replica, m_service.id, part.id))
            if (held.partitioning == generation && (!oldest.has_value() || held < *oldest))
                oldest = held;
        return oldest;
    }

    /// Snapshots of the partitioning that any usable server reported.
    std::set<snapshot> reportedSnapshots(const partitioning &parts) const
    {
        std::set<snapshot> known;
        for (const shard &part : parts.shards)
            for (const server_id &replica : part.replicas) {
                if (!m_backends.isAvailable(replica, m_wall))
                    continue;
                for (const snapshot &held :
                     m_backends.reportedSnapshots(replica, m_service.id, part.id))
                    if (held.partitioning == parts.generation)
                        known.insert(held);
            }
        return known;
    }

    /// Number of documents in the shards of which a usable replica holds or may hold the snapshot.
    /// Clears `complete` if any other shard has documents.
    std::uint64_t servableDocuments(const partitioning &parts, const snapshot &candidate,
                                    bool &complete) const
    {
        std::uint64_t documents = 0;
        for (const shard &part : parts.shards) {
            if (canServe(part, candidate))
                documents += part.documents;
            else if (part.documents != 0)
                complete = false;
        }
        return documents;
    }

    bool canServe(const shard &part, const snapshot &candidate) const
    {
        bool onlyEjected = true;
        bool ejectedServes = false;
        for (const server_id &replica : part.replicas) {
            if (!m_backends.isAvailable(replica, m_wall))
                continue;
            const bool serves =
                m_backends.snapshotAvailability(replica, m_service.id, part.id, candidate)
                != snapshot_availability::NotHeld;
            const bool ejected = m_backends.isEjected(replica, m_now);
            if (serves && !ejected)
                return true;
            onlyEjected = onlyEjected && ejected;
            ejectedServes = ejectedServes || serves;
        }
        // If all replicas are ejected, they are used nevertheless.
        return onlyEjected && ejectedServes;
    }

    const service &m_service;
    const backend_pool &m_backends;
    time_point m_now;
    wall_time m_wall;
};

/// Discards reports that contain only snapshots older than `oldest`.
void discardReportsBefore(const service &target, const partitioning &parts, backend_pool &backends,
                          const snapshot &oldest)
{
    for (const shard &part : parts.shards)
        for (const server_id &replica : part.replicas)
            backends.forgetSnapshotsBefore(replica, target.id, part.id, oldest);
}

/// The best snapshot. If none is known to be complete, the reports of some servers may be out of
/// date. Reports that contain only snapshots older than all those of another server are discarded,
/// so that searches are sent to these servers again.
std::optional<snapshot> chooseSnapshot(const service &target, backend_pool &backends,
                                       time_point now, wall_time wall)
{
    const snapshot_chooser chooser(target, backends, now, wall);
    bool complete = false;
    const auto best = chooser.best(complete);
    if (complete || !best.has_value())
        return best;
    const auto retained = chooser.oldestRetained(best->partitioning);
    if (!retained.has_value())
        return best;
    discardReportsBefore(target, chooser.partsOf(retained->partitioning), backends, *retained);
    return chooser.isComplete(*retained) ? retained : best;
}

} // namespace

std::optional<snapshot>
snapshot_selection::choose(const std::shared_ptr<const configuration> &document,
                           const service &target, backend_pool &backends, time_point now,
                           wall_time wall)
{
    cached_choice &cached = m_cache[target.id];
    const bool valid = cached.document == document
        && cached.knowledgeVersion == backends.knowledgeVersion()
        && (!cached.validUntil.has_value() || wall < *cached.validUntil);
    if (!valid) {
        cached.chosen = chooseSnapshot(target, backends, now, wall);
        cached.document = document;
        cached.knowledgeVersion = backends.knowledgeVersion();
        cached.validUntil = backends.nextDeparture(wall);
    }
    return cached.chosen;
}

std::optional<snapshot>
snapshot_selection::chooseAfterNotHeld(const std::shared_ptr<const configuration> &document,
                                       const service &target, backend_pool &backends,
                                       const shard &refused, const snapshot &at, time_point now,
                                       wall_time wall)
{
    const snapshot_chooser chooser(target, backends, now, wall);
    const auto retained = chooser.oldestRetained(refused, at.partitioning);
    if (retained.has_value() && *retained > at) {
        discardReportsBefore(target, chooser.partsOf(at.partitioning), backends, *retained);
        if (chooser.isComplete(*retained))
            return retained;
    }
    return choose(document, target, backends, now, wall);
}

bool isSnapshotGone(const service_id &service, const shard &part, const snapshot &wanted,
                    const backend_pool &backends, wall_time wall)
{
    bool anyUsable = false;
    for (const server_id &replica : part.replicas) {
        if (!backends.isAvailable(replica, wall))
            continue;
        anyUsable = true;
        if (backends.snapshotAvailability(replica, service, part.id, wanted)
            != snapshot_availability::NotHeld)
            return false;
    }
    return anyUsable;
}

} // namespace waxwing
