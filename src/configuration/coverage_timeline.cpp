#include "configuration/coverage_timeline.h"

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

bool servesAt(const configuration &document, const server_id &id, wall_time time)
{
    const auto *server = document.findServer(id);
    return server != nullptr && (!server->leavesAt || *server->leavesAt > time);
}

double coverageAt(const configuration &document, const partitioning &part, wall_time time)
{
    std::uint64_t total = 0;
    std::uint64_t covered = 0;
    for (const auto &piece : part.shards) {
        total += piece.documents;
        if (std::any_of(piece.replicas.begin(), piece.replicas.end(),
                        [&](const server_id &id) { return servesAt(document, id, time); }))
            covered += piece.documents;
    }
    return total == 0 ? 0 : static_cast<double>(covered) / static_cast<double>(total);
}

} // namespace

std::vector<coverage_point> coverageTimeline(const configuration &document, const service &owner,
                                             wall_time now)
{
    if (owner.partitionings.empty())
        return {};
    const auto &newest = owner.partitionings.back();
    std::set<wall_time> times{now};
    for (const auto &piece : newest.shards) {
        for (const auto &id : piece.replicas) {
            const auto *server = document.findServer(id);
            if (server != nullptr && server->leavesAt && *server->leavesAt > now
                && *server->leavesAt < document.shutdownAt)
                times.insert(*server->leavesAt);
        }
    }
    std::vector<coverage_point> result;
    result.reserve(times.size());
    for (const auto time : times)
        result.push_back({time, coverageAt(document, newest, time)});
    return result;
}

} // namespace waxwing
