#include "relay/store_roles.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwing::relay {
namespace {

/// Distance of a zone: 0 for the own one, 1 for one of the own region, 2 for others.
int distanceOf(const zone_id &own, const zone_id &other,
               const std::map<zone_id, std::string> &regions)
{
    if (own == other)
        return 0;
    const auto here = regions.find(own);
    const auto there = regions.find(other);
    const bool known = here != regions.end() && there != regions.end();
    return known && here->second == there->second ? 1 : 2;
}

/// The hosts that read the store, by zone.
std::vector<const member *> readersOf(const std::vector<member> &active, std::size_t perZone)
{
    std::map<zone_id, std::vector<const member *>> zones;
    for (const member &each : active)
        zones[each.zone].push_back(&each);
    const std::size_t wanted = zones.size() == 1 ? perZone * 2 : perZone;
    std::vector<const member *> readers;
    for (auto &[zone, hosts] : zones) {
        std::sort(hosts.begin(), hosts.end(), [](const member *left, const member *right) {
            return std::pair(stableHash(left->host.value), left->host)
                < std::pair(stableHash(right->host.value), right->host);
        });
        hosts.resize(std::min(hosts.size(), wanted));
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
    std::vector<const member *> readers = readersOf(active, settings.readersPerZone);
    const bool readsStore =
        std::any_of(readers.begin(), readers.end(),
                    [&self](const member *each) { return each->host == self.host; });
    if (readsStore)
        return {};
    // Equally near ones in an order that differs from host to host, so that they share the load.
    const auto key = [&self, &regions](const member *each) {
        return std::tuple(distanceOf(self.zone, each->zone, regions),
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

} // namespace waxwing::relay
