#include "relay/store_roles.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwing::relay {
namespace {

/// Returns 0 for the same zone, 1 for another zone of the same region and 2 otherwise.
int zoneDistance(const zone_id &own, const zone_id &other,
                 const std::map<zone_id, std::string> &regions)
{
    if (own == other)
        return 0;
    const auto ownRegion = regions.find(own);
    const auto otherRegion = regions.find(other);
    const bool bothKnown = ownRegion != regions.end() && otherRegion != regions.end();
    return bothKnown && ownRegion->second == otherRegion->second ? 1 : 2;
}

/// Selects the hosts that read the store: in each zone those with the fastest links, since a reader
/// receives each change in full and passes it on to all the others, and its callers' requests wait
/// behind that. Among equal links, those whose ids have the lowest hashes.
std::vector<const member *> selectReaders(const std::vector<member> &active, std::size_t perZone)
{
    std::map<zone_id, std::vector<const member *>> zones;
    for (const member &each : active)
        zones[each.zone].push_back(&each);
    const std::size_t count = zones.size() == 1 ? perZone * 2 : perZone;
    std::vector<const member *> readers;
    for (auto &[zone, hosts] : zones) {
        std::sort(hosts.begin(), hosts.end(), [](const member *left, const member *right) {
            return std::tuple(right->linkMbps, stableHash(left->host.value), left->host)
                < std::tuple(left->linkMbps, stableHash(right->host.value), right->host);
        });
        hosts.resize(std::min(hosts.size(), count));
        readers.insert(readers.end(), hosts.begin(), hosts.end());
    }
    return readers;
}

} // namespace

store_role chooseStoreRole(const store_roles_settings &settings, const member &self,
                           const std::vector<member> &active,
                           const std::map<zone_id, std::string> &regions)
{
    if (active.size() <= settings.maxDirectHosts)
        return {};
    std::vector<const member *> readers = selectReaders(active, settings.readersPerZone);
    const bool readsStore =
        std::any_of(readers.begin(), readers.end(),
                    [&self](const member *each) { return each->host == self.host; });
    if (readsStore)
        return {};
    // The order of equally distant readers differs from host to host, which spreads the load.
    const auto key = [&self, &regions](const member *each) {
        return std::tuple(zoneDistance(self.zone, each->zone, regions),
                          stableHash(each->host.value, stableHash(self.host.value)), each->host);
    };
    std::sort(readers.begin(), readers.end(),
              [&key](const member *left, const member *right) { return key(left) < key(right); });
    store_role role;
    role.readsStore = false;
    for (const member *each : readers) {
        if (role.sources.size() < settings.sourcesPerHost)
            role.sources.push_back(each->peer);
    }
    return role;
}

std::vector<endpoint> chooseFallbacks(const store_roles_settings &settings, const member &self,
                                      const std::vector<member> &active,
                                      const std::map<zone_id, std::string> &regions)
{
    const std::size_t perZone =
        active.size() <= settings.maxDirectHosts ? active.size() : settings.readersPerZone;
    std::vector<const member *> readers = selectReaders(active, perZone);
    std::erase_if(readers, [&self](const member *each) { return each->zone == self.zone; });
    const auto key = [&self, &regions](const member *each) {
        return std::tuple(zoneDistance(self.zone, each->zone, regions),
                          stableHash(each->host.value, stableHash(self.host.value)), each->host);
    };
    std::sort(readers.begin(), readers.end(),
              [&key](const member *left, const member *right) { return key(left) < key(right); });
    readers.resize(std::min(readers.size(), settings.sourcesPerHost));
    std::vector<endpoint> result;
    result.reserve(readers.size());
    for (const member *each : readers)
        result.push_back(each->peer);
    return result;
}

} // namespace waxwing::relay
