#include "configuration/checks.h"
#include "configuration/json_pointer.h"
#include "configuration/wall_time_text.h"

#include <algorithm>
#include <unordered_map>

namespace waxwing {
namespace {

using departure_index = std::unordered_map<server_id, wall_time>;

/// When each backend server stops serving: at its departure, or else at the shutdown.
departure_index indexDepartures(const configuration &document)
{
    departure_index result;
    for (const auto &server : document.servers)
        result.emplace(server.id, server.leavesAt.value_or(document.shutdownAt));
    return result;
}

/// When the last replica leaves, or empty if there is none.
std::optional<wall_time> coveredUntil(const shard &part, const departure_index &departures)
{
    std::optional<wall_time> last;
    for (const auto &id : part.replicas) {
        const auto found = departures.find(id);
        if (found != departures.end())
            last = std::max(last.value_or(found->second), found->second);
    }
    return last;
}

void collectUncovered(const configuration &document, std::size_t serviceIndex,
                      const departure_index &departures, std::vector<uncovered_shard> &result)
{
    const auto &owner = document.services[serviceIndex];
    for (std::size_t i = 0; i < owner.partitionings.size(); ++i) {
        const auto &part = owner.partitionings[i];
        for (std::size_t j = 0; j < part.shards.size(); ++j) {
            const auto until = coveredUntil(part.shards[j], departures);
            if (until && *until >= document.shutdownAt)
                continue;
            const auto field = appendToPointer(
                appendToPointer(appendToPointer("/services", serviceIndex) + "/partitionings", i)
                    + "/shards",
                j);
            result.push_back({field, owner.id, part.generation, part.shards[j].id, until});
        }
    }
}

} // namespace

std::vector<uncovered_shard> findUncoveredShards(const configuration &document)
{
    const auto departures = indexDepartures(document);
    std::vector<uncovered_shard> result;
    for (std::size_t i = 0; i < document.services.size(); ++i)
        collectUncovered(document, i, departures, result);
    return result;
}

void checkDepartures(const configuration &document, std::vector<configuration_problem> &problems)
{
    if (document.allowUncovered)
        return;
    for (const auto &found : findUncoveredShards(document)) {
        const auto shard = "shard '" + found.shard.value + "' of service '" + found.service.value
            + "', generation " + std::to_string(found.generation);
        const auto reason = found.since
            ? shard + ", has no replica from " + formatWallTime(*found.since)
                + " until the shutdown at " + formatWallTime(document.shutdownAt)
            : shard + ", has no replica";
        problems.push_back({found.field + "/replicas", reason + "; allow_uncovered permits this"});
    }
}

} // namespace waxwing
