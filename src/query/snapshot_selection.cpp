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
    std::optional<snapshot> best() const
    {
        std::optional<snapshot> largest;
        std::uint64_t mostDocuments = 0;
        for (auto part = m_service.partitionings.rbegin(); part != m_service.partitionings.rend();
             ++part) {
            const auto known = reported(*part);
            for (auto candidate = known.rbegin(); candidate != known.rend(); ++candidate) {
                bool whole = true;
                const std::uint64_t documents = servable(*part, *candidate, whole);
                if (whole)
                    return *candidate;
                if (!largest.has_value() || documents > mostDocuments) {
                    largest = *candidate;
                    mostDocuments = documents;
                }
            }
        }
        return largest;
    }

private:
    /// Snapshots of the partitioning that any server reported.
    std::set<snapshot> reported(const partitioning &part) const
    {
        std::set<snapshot> known;
        for (const shard &piece : part.shards)
            for (const server_id &replica : piece.replicas) {
                if (!m_backends.mayWork(replica, m_wall))
                    continue;
                for (const snapshot &held : m_backends.heldBy(replica, m_service.id, piece.id))
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
            if (!m_backends.mayWork(replica, m_wall))
                continue;
            const bool serves = m_backends.knowledge(replica, m_service.id, piece.id, candidate)
                != replica_knowledge::NotHeld;
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

} // namespace

std::optional<snapshot>
snapshot_selection::choose(const std::shared_ptr<const configuration> &document,
                           const service &target, const backend_pool &backends, time_point now,
                           wall_time wall)
{
    choice &kept = m_choices[target.id];
    const bool valid = kept.document == document
        && kept.knowledgeVersion == backends.knowledgeVersion()
        && (!kept.validUntil.has_value() || wall < *kept.validUntil);
    if (!valid) {
        kept.chosen = snapshot_choice(target, backends, now, wall).best();
        kept.document = document;
        kept.knowledgeVersion = backends.knowledgeVersion();
        kept.validUntil = backends.nextDeparture(wall);
    }
    return kept.chosen;
}

bool isSnapshotGone(const service_id &service, const shard &part, const snapshot &wanted,
                    const backend_pool &backends, wall_time wall)
{
    bool anyWorks = false;
    for (const server_id &replica : part.replicas) {
        if (!backends.mayWork(replica, wall))
            continue;
        anyWorks = true;
        if (backends.knowledge(replica, service, part.id, wanted) != replica_knowledge::NotHeld)
            return false;
    }
    return anyWorks;
}

} // namespace waxwing
