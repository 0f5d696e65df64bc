#include "routing/holder_assignment.h"

#include "routing/zone_assignment.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace waxwing {
namespace {

/// Sorted ids of the members of each zone.
using zone_hosts = std::map<zone_id, std::vector<host_id>>;

/// Maximum holders of the service in all zones together: `share` of the smallest connection limit
/// of its servers, rounded down.
std::uint32_t holderBudget(const configuration &document, const service &wanted, double share)
{
    std::optional<std::uint32_t> smallest;
    for (const partitioning &generation : wanted.partitionings) {
        for (const shard &part : generation.shards) {
            for (const server_id &replica : part.replicas) {
                const backend_server *server = document.findServer(replica);
                if (server != nullptr)
                    smallest = std::min(smallest.value_or(server->connectionLimit),
                                        server->connectionLimit);
            }
        }
    }
    return smallest ? static_cast<std::uint32_t>(std::floor(*smallest * share)) : 0;
}

/// Holders of a service in each zone; at least 1. Unless the budget covers all members, it depends
/// on the number of zones and not on the members of other zones, so that a partitioned zone
/// computes the same holders for itself.
std::size_t holdersPerZone(std::uint32_t budget, std::size_t members, std::size_t zones)
{
    if (members <= budget)
        return members;
    return std::max<std::size_t>(1, budget / std::max<std::size_t>(1, zones));
}

/// Groups hosts by zone. Of duplicate ids only the first is used.
zone_hosts groupByZone(const std::vector<member> &members)
{
    std::map<host_id, zone_id> zoneOf;
    for (const member &each : members)
        zoneOf.emplace(each.host, each.zone);
    zone_hosts grouped;
    for (const auto &[host, zone] : zoneOf)
        grouped[zone].push_back(host);
    return grouped;
}

/// Number of zones that are configured or have members.
std::size_t countZones(const configuration &document, const zone_hosts &hosts)
{
    std::set<zone_id> zones(document.zones.begin(), document.zones.end());
    for (const auto &[zone, ids] : hosts)
        zones.insert(zone);
    return zones.size();
}

/// Hosts that connect to each server, that is the holders of all services that use it.
std::map<server_id, std::set<host_id>>
connectingHosts(const configuration &document,
                const std::map<service_id, std::vector<host_id>> &holders)
{
    std::map<server_id, std::set<host_id>> connecting;
    for (const service &each : document.services) {
        std::set<server_id> servers;
        for (const partitioning &generation : each.partitionings) {
            for (const shard &part : generation.shards)
                servers.insert(part.replicas.begin(), part.replicas.end());
        }
        const std::vector<host_id> &hosts = holders.at(each.id);
        for (const server_id &server : servers)
            connecting[server].insert(hosts.begin(), hosts.end());
    }
    return connecting;
}

} // namespace

holder_assignment holder_assignment::compute(const configuration &document,
                                             const std::vector<member> &members,
                                             const routing_settings &settings)
{
    holder_assignment result;
    const zone_hosts hosts = groupByZone(members);
    const std::size_t zones = countZones(document, hosts);
    std::size_t memberCount = 0;
    for (const auto &[zone, ids] : hosts)
        memberCount += ids.size();

    std::vector<std::size_t> perZone;
    for (const service &each : document.services) {
        const std::uint32_t budget = holderBudget(document, each, settings.holderShare);
        perZone.push_back(holdersPerZone(budget, memberCount, zones));
        result.m_holders[each.id] = {};
    }
    for (const auto &[zone, ids] : hosts) {
        for (const service_placement &placement :
             zone_assignment(document.services, perZone, ids).placements())
            result.m_holders[document.services[placement.service].id].push_back(
                ids[placement.host]);
    }
    for (auto &[id, holders] : result.m_holders)
        std::sort(holders.begin(), holders.end());

    for (const auto &[id, connecting] : connectingHosts(document, result.m_holders)) {
        const backend_server *server = document.findServer(id);
        if (server == nullptr || connecting.empty())
            continue;
        const double usable = std::floor(server->connectionLimit * settings.connectionShare);
        const auto each =
            static_cast<std::uint32_t>(usable / static_cast<double>(connecting.size()));
        result.m_connections[id] = std::max<std::uint32_t>(1, each);
    }
    return result;
}

const std::vector<host_id> &holder_assignment::holders(const service_id &service) const
{
    static const std::vector<host_id> none;
    const auto found = m_holders.find(service);
    return found != m_holders.end() ? found->second : none;
}

bool holder_assignment::isHolder(const service_id &service, const host_id &host) const
{
    const std::vector<host_id> &sorted = holders(service);
    return std::binary_search(sorted.begin(), sorted.end(), host);
}

std::uint32_t holder_assignment::connectionsPerHolder(const server_id &server) const
{
    const auto found = m_connections.find(server);
    return found != m_connections.end() ? found->second : 1;
}

} // namespace waxwing
