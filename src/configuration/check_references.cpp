#include "configuration/checks.h"
#include "configuration/json_pointer.h"

#include <map>
#include <set>

namespace waxwing {
namespace {

using problem_list = std::vector<configuration_problem>;

void checkServers(const configuration &document, problem_list &problems)
{
    const std::set<zone_id> zones(document.zones.begin(), document.zones.end());
    std::map<endpoint, server_id> addresses;
    for (std::size_t i = 0; i < document.servers.size(); ++i) {
        const auto &server = document.servers[i];
        const auto field = appendToPointer("/backend_servers", i);
        if (zones.count(server.zone) == 0)
            problems.push_back({field + "/zone", "unknown zone '" + server.zone.value + "'"});
        if (server.address.port == 0)
            problems.push_back({field + "/address", "port 0 cannot be connected to"});
        const auto [first, inserted] = addresses.emplace(server.address, server.id);
        if (!inserted) {
            problems.push_back({field + "/address",
                                "the same address as backend server '" + first->second.value
                                    + "'; each needs its own"});
        }
    }
}

void checkReplicas(const shard &part, const std::string &field, const std::set<server_id> &servers,
                   problem_list &problems)
{
    std::set<server_id> seen;
    for (std::size_t i = 0; i < part.replicas.size(); ++i) {
        const auto &id = part.replicas[i];
        const auto replicaField = appendToPointer(field + "/replicas", i);
        if (servers.count(id) == 0)
            problems.push_back({replicaField, "unknown backend server '" + id.value + "'"});
        if (!seen.insert(id).second) {
            problems.push_back(
                {replicaField, "backend server '" + id.value + "' is named twice for this shard"});
        }
    }
}

} // namespace

void checkReferences(const configuration &document, problem_list &problems)
{
    checkServers(document, problems);
    std::set<server_id> servers;
    for (const auto &server : document.servers)
        servers.insert(server.id);
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        const auto &parts = document.services[i].partitionings;
        for (std::size_t j = 0; j < parts.size(); ++j) {
            const auto field =
                appendToPointer(appendToPointer("/services", i) + "/partitionings", j) + "/shards";
            for (std::size_t k = 0; k < parts[j].shards.size(); ++k)
                checkReplicas(parts[j].shards[k], appendToPointer(field, k), servers, problems);
        }
    }
}

} // namespace waxwing
