#include "query/snapshot_selection.h"

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

/// Choice among the snapshots of one service at one time.
class snapshot_choice
{
public:
    snapshot_choice(const service &target, const backend_pool &backends, time_point now,
                    wall_time wall)
        : m_service(target), m_backends(backends), m_now(now), m_wall(wall)
    { }

    /// The newest snapshot that is whole, otherwise the largest, otherwise the newest of those.
    std::optional<snapshot> best(bool &whole) const
    {
        std::optional<snapshot> largest;
        whole = false;
        std::uint64_t mostDocuments = 0;
        for (auto part = m_service.partitionings.rbegin(); part != m_service.partitionings.rend();
             ++part) {
            const auto known = reported(*part);
            for (auto candidate = known.rbegin(); candidate != known.rend(); ++candidate) {
                whole = true;
                const std::uint64_t documents = servable(*part, *candidate, whole);
                if (whole)
                    return *candidate;
                if (!largest.has_value() || documents > mostDocuments) {
                    largest = *candidate;
                    mostDocuments = documents;
                }
            }
        }
        whole = false;
        return largest;
    }

    /// The oldest snapshot of the partitioning that no server is known to have dropped; empty if
    /// nothing is reported. Servers that are still being updated most likely hold it.
    std::optional<snapshot> oldestKept(std::uint32_t generation) const
    {
        std::optional<snapshot> kept;
        for (const shard &piece : partsOf(generation).shards)
            kept = std::max(kept, oldestKept(piece, generation));
        return kept;
    }

    /// The same for the servers of one shard.
    std::optional<snapshot> oldestKept(const shard &piece, std::uint32_t generation) const
    {
        std::optional<snapshot> kept;
        for (const server_id &replica : piece.replicas)
            kept = std::max(kept, oldestReported(piece, replica, generation));
        return kept;
    }

    /// Whether every shard has a usable replica that holds or may hold the snapshot.
    bool isWhole(const snapshot &candidate) const
    {
        bool whole = true;
        servable(partsOf(candidate.partitioning), candidate, whole);
        return whole;
    }

    const partitioning &partsOf(std::uint32_t generation) const
    {
        return *std::find_if(
            m_service.partitionings.begin(), m_service.partitionings.end(),
            [&](const partitioning &parts) { return parts.generation == generation; });
    }

private:
    std::optional<snapshot> oldestReported(const shard &piece, const server_id &replica,
                                           std::uint32_t generation) const
    {
        std::optional<snapshot> oldest;
        if (!m_backends.isAvailable(replica, m_wall))
            return oldest;
        for (const snapshot &held : m_backends.reportedSnapshots(replica, m_service.id, piece.id))
            if (held.partitioning == generation && (!oldest.has_value() || held < *oldest))
                oldest = held;
        return oldest;
    }

    /// Snapshots of the partitioning that any server reported.
    std::set<snapshot> reported(const partitioning &part) const
    {
        std::set<snapshot> known;
        for (const shard &piece : part.shards)
            for (const server_id &replica : piece.replicas) {
                if (!m_backends.isAvailable(replica, m_wall))
                    continue;
                for (const snapshot &held :
                     m_backends.reportedSnapshots(replica, m_service.id, piece.id))
                    if (held.partitioning == part.generation)
                        known.insert(held);
            }
        return known;
    }

    /// Documents of the shards that a usable replica holds or may hold.
    std::uint64_t servable(const partitioning &part, const snapshot &candidate, bool &whole) const
    {
        std::uint64_t documents = 0;
        for (const shard &piece : part.shards) {
            if (canServe(piece, candidate))
                documents += piece.documents;
            else if (piece.documents != 0)
                whole = false;
        }
        return documents;
    }

    bool canServe(const shard &piece, const snapshot &candidate) const
    {
        bool onlyEjected = true;
        bool ejectedServes = false;
        for (const server_id &replica : piece.replicas) {
            if (!m_backends.isAvailable(replica, m_wall))
                continue;
            const bool serves =
                m_backends.snapshotAvailability(replica, m_service.id, piece.id, candidate)
                != snapshot_availability::NotHeld;
            const bool ejected = m_backends.isEjected(replica, m_now);
            if (serves && !ejected)
                return true;
            onlyEjected = onlyEjected && ejected;
            ejectedServes = ejectedServes || serves;
        }
        // Where all replicas appear unhealthy, all are used.
        return onlyEjected && ejectedServes;
    }

    const service &m_service;
    const backend_pool &m_backends;
    time_point m_now;
    wall_time m_wall;
};

/// Forgets the reports that have only snapshots older than `oldest`.
void forgetBefore(const service &target, const partitioning &parts, backend_pool &backends,
                  const snapshot &oldest)
{
    for (const shard &piece : parts.shards)
        for (const server_id &replica : piece.replicas)
            backends.forgetSnapshotsBefore(replica, target.id, piece.id, oldest);
}

/// The best snapshot. Where none is known to be whole, the reports of some servers may be older
/// than those of others: what is older than all that another server holds is forgotten, and
/// those servers are asked.
std::optional<snapshot> chooseSnapshot(const service &target, backend_pool &backends,
                                       time_point now, wall_time wall)
{
    const snapshot_choice choice(target, backends, now, wall);
    bool whole = false;
    const auto best = choice.best(whole);
    if (whole || !best.has_value())
        return best;
    const auto kept = choice.oldestKept(best->partitioning);
    if (!kept.has_value())
        return best;
    forgetBefore(target, choice.partsOf(kept->partitioning), backends, *kept);
    return choice.isWhole(*kept) ? kept : best;
}

} // namespace

std::optional<snapshot>
snapshot_selection::choose(const std::shared_ptr<const configuration> &document,
                           const service &target, backend_pool &backends, time_point now,
                           wall_time wall)
{
    choice &kept = m_choices[target.id];
    const bool valid = kept.document == document
        && kept.knowledgeVersion == backends.knowledgeVersion()
        && (!kept.validUntil.has_value() || wall < *kept.validUntil);
    if (!valid) {
        kept.chosen = chooseSnapshot(target, backends, now, wall);
        kept.document = document;
        kept.knowledgeVersion = backends.knowledgeVersion();
        kept.validUntil = backends.nextDeparture(wall);
    }
    return kept.chosen;
}

std::optional<snapshot>
snapshot_selection::chooseAfterRefusal(const std::shared_ptr<const configuration> &document,
                                       const service &target, backend_pool &backends,
                                       const shard &refused, const snapshot &at, time_point now,
                                       wall_time wall)
{
    const snapshot_choice current(target, backends, now, wall);
    const auto kept = current.oldestKept(refused, at.partitioning);
    if (kept.has_value() && *kept > at) {
        forgetBefore(target, current.partsOf(at.partitioning), backends, *kept);
        if (current.isWhole(*kept))
            return kept;
    }
    return choose(document, target, backends, now, wall);
}

bool isSnapshotGone(const service_id &service, const shard &part, const snapshot &wanted,
                    const backend_pool &backends, wall_time wall)
{
    bool anyWorks = false;
    for (const server_id &replica : part.replicas) {
        if (!backends.isAvailable(replica, wall))
            continue;
        anyWorks = true;
        if (backends.snapshotAvailability(replica, service, part.id, wanted)
            != snapshot_availability::NotHeld)
            return false;
    }
    return anyWorks;
}

} // namespace waxwing
