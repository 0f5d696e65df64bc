#include "query/canary_policy.h"

#include "core/hash.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Replicas in the order that every host has for the request.
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

bool isUndecided(const shard_progress &shard)
{
    return shard.step == shard_progress::step_kind::Unsent
        || shard.step == shard_progress::step_kind::InProgress;
}

} // namespace

void canary_policy::begin(search_work &work, running_search &search)
{
    search.canary.reset();
    const request_quarantine &quarantine = work.environment.quarantine;
    if (quarantine.isKnownGood(search.fingerprint))
        return;
    search.canary.emplace();
    // A host that heard of crashes goes on where the others are.
    search.canary->step = quarantine.crashes(search.fingerprint, work.context.now);
    const bool isCrasher = search.canary->step != 0;
    skipUnreachable(work, search);
    search.canary->shard = (search.fingerprint + search.canary->step) % search.shards.size();
    if (isCrasher)
        search.canary->avoided = firstZone(work, search);
    search.canary->until = waitEnd(work, search);
}

void canary_policy::skipUnreachable(const search_work &work, running_search &search)
{
    const backend_pool &backends = work.environment.backends;
    // Not those that are only stalled: a request that will crash its server stalls it before, and
    // copies of it have to stay with that server.
    const auto isSilent = [&](const server_id &server) {
        return backends.isEjected(server, work.context.now);
    };
    for (std::size_t skipped = 0; skipped < search.shards.size(); ++skipped) {
        const std::uint64_t step = search.canary->step + skipped;
        const auto &replicas =
            search.parts->shards[(search.fingerprint + step) % search.shards.size()].replicas;
        if (!std::all_of(replicas.begin(), replicas.end(), isSilent)) {
            search.canary->step = step;
            return;
        }
    }
}

std::optional<server_id> canary_policy::chooseServer(const search_work &work,
                                                     const running_search &search)
{
    const std::size_t index = search.canary->shard;
    const shard &part = search.parts->shards[index];
    const shard_progress &progress = search.shards[index];
    backend_pool &backends = work.environment.backends;
    const bool suspect =
        work.environment.quarantine.isSuspect(search.fingerprint, work.context.now);
    // One attempt at a time, so that copies of a request do not crash one server each.
    if (suspect && work.state.suspectRequests.contains(search.fingerprint))
        return std::nullopt;
    const auto ranked = rankedReplicas(part.replicas, search.fingerprint);
    // First pass: healthy servers outside the avoided zone; then the zone; then ejected ones.
    for (int pass = 0; pass < 3; ++pass) {
        for (const server_id &server : ranked) {
            const zone_id *zone = backends.zoneOf(server);
            if (pass == 0 && zone != nullptr && search.canary->avoided == *zone)
                continue;
            if (pass < 2 && backends.isEjected(server, work.context.now))
                continue;
            // One suspect on a server at a time, so that a crash shows which one it was.
            if (suspect && work.state.suspects.contains(server))
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

bool canary_policy::moveOn(search_work &work, running_search &search, time_point notBefore)
{
    canary_progress next;
    next.step = search.canary.has_value() ? search.canary->step : 0;
    next.avoided = firstZone(work, search);
    next.notBefore = notBefore;
    next.until = std::max(waitEnd(work, search), notBefore);
    for (std::size_t tries = 0; tries < search.shards.size(); ++tries) {
        ++next.step;
        next.shard = (search.fingerprint + next.step) % search.shards.size();
        if (!isUndecided(search.shards[next.shard]))
            continue;
        search.canary = next;
        return true;
    }
    search.canary.reset();
    return false;
}

std::optional<zone_id> canary_policy::firstZone(const search_work &work,
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

time_point canary_policy::waitEnd(const search_work &work, const running_search &search)
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
