#include "coordinators/coordinator_set.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace waxwing {
namespace {

/// Rate that counts for a host; 1 if none is known, so that such hosts are equal.
std::uint32_t rateOf(const member &host)
{
    return std::max<std::uint32_t>(host.linkMbps, 1);
}

std::uint64_t totalRate(const std::vector<member> &hosts)
{
    return std::accumulate(
        hosts.begin(), hosts.end(), std::uint64_t{0},
        [](std::uint64_t sum, const member &each) { return sum + rateOf(each); });
}

/// Region of the zone, or the zone itself if its region is unknown.
const std::string &regionOf(const zone_id &zone, const std::map<zone_id, std::string> &regions)
{
    const auto known = regions.find(zone);
    return known == regions.end() ? zone.value : known->second;
}

/// Returns the coordinators of the hosts of one region, at most `target` if their links suffice.
std::vector<member> chooseInRegion(const coordinator_settings &settings, std::vector<member> hosts,
                                   std::size_t target)
{
    std::uint32_t fastest = 0;
    for (const member &each : hosts)
        fastest = std::max(fastest, rateOf(each));
    const double fast = settings.minRelativeLink * fastest;
    const auto key = [fastest](const member &host) {
        return std::tuple(fastest - rateOf(host), stableHash(host.host.value), host.host);
    };
    std::sort(hosts.begin(), hosts.end(),
              [&key](const member &left, const member &right) { return key(left) < key(right); });
    const double needed = settings.minLinkShare * static_cast<double>(totalRate(hosts));
    double rate = 0;
    std::size_t count = 0;
    while (count < hosts.size()) {
        const member &next = hosts[count];
        const bool isUseful = count < target && rateOf(next) >= fast;
        if (rate >= needed && count >= settings.minPerRegion && !isUseful)
            break;
        rate += rateOf(next);
        ++count;
    }
    hosts.resize(count);
    return hosts;
}

/// Returns one of the hosts, which must not be empty, in proportion to the rates of their links.
const member &drawByRate(const std::vector<member> &hosts, random_engine &random)
{
    auto left = random(static_cast<std::uint32_t>(totalRate(hosts)));
    for (const member &each : hosts) {
        if (left < rateOf(each))
            return each;
        left -= rateOf(each);
    }
    return hosts.back();
}

} // namespace

coordinator_set coordinator_set::choose(const coordinator_settings &settings,
                                        const std::vector<member> &active,
                                        const std::map<zone_id, std::string> &regions,
                                        std::optional<std::uint32_t> connectionLimit)
{
    coordinator_set result;
    if (!settings.isEnabled || !connectionLimit.has_value() || active.empty())
        return result;
    const double connections = settings.connectionFraction * *connectionLimit;
    if (connections >= settings.minConnections * static_cast<double>(active.size()))
        return result;
    std::map<std::string, std::vector<member>> hosts;
    for (const member &each : active)
        hosts[regionOf(each.zone, regions)].push_back(each);
    const double all = connections / settings.connectionsPerCoordinator;
    const auto target = static_cast<std::size_t>(
        std::max(1.0, std::round(all / static_cast<double>(hosts.size()))));
    for (auto &[region, each] : hosts) {
        const std::vector<member> chosen = chooseInRegion(settings, std::move(each), target);
        result.m_coordinators.insert(result.m_coordinators.end(), chosen.begin(), chosen.end());
    }
    std::sort(result.m_coordinators.begin(), result.m_coordinators.end(),
              [](const member &left, const member &right) { return left.host < right.host; });
    return result;
}

std::optional<coordinator_share> coordinator_share::of(const coordinator_set &coordinators,
                                                       const coordinator_settings &settings,
                                                       const host_id &self, std::size_t hosts,
                                                       std::uint32_t connectionLimit)
{
    if (coordinators.isEveryHost())
        return std::nullopt;
    const auto divided = [](std::size_t count, double fraction) {
        return static_cast<std::size_t>(std::ceil(static_cast<double>(count) / fraction));
    };
    if (!coordinators.contains(self))
        return coordinator_share{1, hosts, divided(hosts, settings.reservedForOthers)};
    const auto count = static_cast<double>(coordinators.size());
    const double connections = std::round(settings.connectionFraction * connectionLimit / count);
    return coordinator_share{static_cast<std::size_t>(std::max(1.0, connections)),
                             coordinators.size(),
                             divided(coordinators.size(), 1 - settings.reservedForOthers)};
}

bool coordinator_set::operator==(const coordinator_set &other) const
{
    return std::equal(m_coordinators.begin(), m_coordinators.end(), other.m_coordinators.begin(),
                      other.m_coordinators.end(), [](const member &left, const member &right) {
                          return left.host == right.host;
                      });
}

bool coordinator_set::contains(const host_id &host) const
{
    return isEveryHost()
        || std::any_of(m_coordinators.begin(), m_coordinators.end(),
                       [&host](const member &each) { return each.host == host; });
}

std::optional<member> coordinator_set::pick(const zone_id &zone,
                                            const std::map<zone_id, std::string> &regions,
                                            const std::function<bool(const host_id &)> &isSkipped,
                                            random_engine &random) const
{
    std::vector<member> inZone;
    std::vector<member> inRegion;
    for (const member &each : m_coordinators) {
        if (isSkipped(each.host))
            continue;
        if (each.zone == zone)
            inZone.push_back(each);
        else if (regionOf(each.zone, regions) == regionOf(zone, regions))
            inRegion.push_back(each);
    }
    if (inZone.empty() && inRegion.empty())
        return std::nullopt;
    return drawByRate(inZone.empty() ? inRegion : inZone, random);
}

} // namespace waxwing
