#include "configuration/checks.h"
#include "configuration/json_pointer.h"

#include <set>
#include <unordered_map>

namespace waxwing {
namespace {

/// Share of a connection limit that all holders together may use (docs/design.md, section 5.4).
constexpr std::uint64_t usablePercent = 85;

/// Services that have a replica on each backend server.
std::unordered_map<server_id, std::set<service_id>> indexServices(const configuration &document)
{
    std::unordered_map<server_id, std::set<service_id>> result;
    for (const auto &owner : document.services) {
        for (const auto &part : owner.partitionings) {
            for (const auto &piece : part.shards) {
                for (const auto &id : piece.replicas)
                    result[id].insert(owner.id);
            }
        }
    }
    return result;
}

} // namespace

// Each zone assigns holders of its own for each service, and each holder needs a connection. How
// many more there are depends on the live entry hosts, which the document does not know.
void checkConnectionLimits(const configuration &document,
                           std::vector<configuration_problem> &problems)
{
    const auto services = indexServices(document);
    for (std::size_t i = 0; i < document.servers.size(); ++i) {
        const auto &server = document.servers[i];
        const auto found = services.find(server.id);
        if (found == services.end())
            continue;
        const std::uint64_t needed = found->second.size() * document.zones.size();
        const std::uint64_t usable = server.connectionLimit * usablePercent / 100;
        if (needed <= usable)
            continue;
        problems.push_back({appendToPointer("/backend_servers", i) + "/connection_limit",
                            "backend server '" + server.id.value + "' holds "
                                + std::to_string(found->second.size())
                                + " services and needs at least " + std::to_string(needed)
                                + " connections, one for each service and zone; "
                                + std::to_string(usable) + " of its limit of "
                                + std::to_string(server.connectionLimit) + " are usable"});
    }
}

} // namespace waxwing
