#include "query/canary_policy.h"

#include "core/hash.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Replicas ordered by a hash of server and request, which is the same on every host.
std::vector<server_id> rankedReplicas(const std::vector<server_id> &replicas,
                                      std::uint64_t fingerprint)
{
    std::vector<std::pair<std::uint64_t, server_id>> ranked;
    ranked.reserve(replicas.size());
    for (const server_id &replica : replicas)
        ranked.emplace_back(stableHash(replica.value, fingerprint), replica);
    std::sort(ranked.begin(), ranked.end());
    std::vector<server_id> ordered;
    ordered.reserve(ranked.size());
    for (auto &entry : ranked)
        ordered.push_back(std::move(entry.second));
    return ordered;
}

bool isUnfinished(const shard_progress &shard)
{
    return shard.status == shard_progress::status_kind::Pending
        || shard.status == shard_progress::status_kind::InProgress;
}

} // namespace

void canary_policy::begin(search_context &work, running_search &search)
{
    search.canary.reset();
    const request_quarantine &quarantine = work.environment.quarantine;
    if (quarantine.isKnownGood(search.fingerprint))
        return;
    search.canary.emplace();
    // Skips one shard for each counted crash of the request, so that all hosts continue with the
    // same shard.
    search.canary->shardOffset = quarantine.crashes(search.fingerprint, work.context.now);
    const bool hasCrashed = search.canary->shardOffset != 0;
    skipUnreachable(work, search);
    search.canary->shard = (search.fingerprint + search.canary->shardOffset) % search.shards.size();
    if (hasCrashed)
        search.canary->avoidedZone = firstReplicaZone(work, search);
    search.canary->waitDeadline = computeWaitDeadline(work, search);
}

void canary_policy::skipUnreachable(const search_context &work, running_search &search)
{
    const backend_pool &backends = work.environment.backends;
    // Shards whose servers are only stalled are not skipped: a request may stall its server before
    // crashing it, and copies of the request must go to the same server.
    const auto isEjected = [&](const server_id &server) {
        return backends.isEjected(server, work.context.now);
    };
    for (std::size_t skipped = 0; skipped < search.shards.size(); ++skipped) {
        const std::uint64_t offset = search.canary->shardOffset + skipped;
        const auto &replicas =
            search.parts->shards[(search.fingerprint + offset) % search.shards.size()].replicas;
        if (!std::all_of(replicas.begin(), replicas.end(), isEjected)) {
            search.canary->shardOffset = offset;
            return;
        }
    }
}

std::optional<server_id> canary_policy::chooseServer(const search_context &work,
                                                     const running_search &search)
{
    const std::size_t index = search.canary->shard;
    const shard &part = search.parts->shards[index];
    const shard_progress &progress = search.shards[index];
    backend_pool &backends = work.environment.backends;
    const bool suspect =
        work.environment.quarantine.isSuspect(search.fingerprint, work.context.now);
    // A suspect request has one attempt at a time, since parallel copies could crash one server
    // each.
    if (suspect && work.state.suspectAttemptsByRequest.contains(search.fingerprint))
        return std::nullopt;
    const auto ranked = rankedReplicas(part.replicas, search.fingerprint);
    // First pass: healthy servers outside the avoided zone; second: all healthy servers; third:
    // also ejected servers.
    for (int pass = 0; pass < 3; ++pass) {
        for (const server_id &server : ranked) {
            const zone_id *zone = backends.zoneOf(server);
            if (pass == 0 && zone != nullptr && search.canary->avoidedZone == *zone)
                continue;
            if (pass < 2 && backends.isEjected(server, work.context.now))
                continue;
            // A server has one suspect request at a time, so that a crash identifies the request.
            if (suspect && work.state.suspectAttemptsByServer.contains(server))
                continue;
            auto chosen =
                backends.choose(search.target->id, part.id, {server}, progress.tried, search.at,
                                work.context.now, work.context.wall, work.context.random);
            if (chosen.has_value())
                return chosen;
        }
    }
    return std::nullopt;
}

bool canary_policy::moveToNextShard(search_context &work, running_search &search,
                                    time_point notBefore)
{
    canary_progress next;
    next.shardOffset = search.canary.has_value() ? search.canary->shardOffset : 0;
    next.avoidedZone = firstReplicaZone(work, search);
    next.notBefore = notBefore;
    next.waitDeadline = std::max(computeWaitDeadline(work, search), notBefore);
    for (std::size_t tries = 0; tries < search.shards.size(); ++tries) {
        ++next.shardOffset;
        next.shard = (search.fingerprint + next.shardOffset) % search.shards.size();
        if (!isUnfinished(search.shards[next.shard]))
            continue;
        search.canary = next;
        return true;
    }
    search.canary.reset();
    return false;
}

std::optional<zone_id> canary_policy::firstReplicaZone(const search_context &work,
                                                       const running_search &search)
{
    const shard &part = search.parts->shards[search.fingerprint % search.shards.size()];
    const auto ranked = rankedReplicas(part.replicas, search.fingerprint);
    const zone_id *zone =
        ranked.empty() ? nullptr : work.environment.backends.zoneOf(ranked.front());
    if (zone == nullptr)
        return std::nullopt;
    return *zone;
}

time_point canary_policy::computeWaitDeadline(const search_context &work,
                                              const running_search &search)
{
    const auto &quarantine = work.environment.quarantine;
    const time_point now = work.context.now;
    const bool alert = quarantine.isSuspect(search.fingerprint, now)
        || quarantine.hasRecentCrash(search.target->id, now);
    const query_settings &settings = work.state.settings;
    const double share = alert ? settings.alertCanaryShare : settings.quietCanaryShare;
    const std::chrono::duration<double> left = search.deadline - now;
    return now + std::chrono::duration_cast<duration>(left * share);
}

} // namespace waxwing
