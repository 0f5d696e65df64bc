#pragma once

#include "core/strong_id.h"

#include <map>
#include <set>
#include <string>

namespace waxwing {

/// Regions of the availability zones, which zones are evacuated, and which return from it.
/// Immutable.
class zone_directory
{
public:
    /// Without zones.
    zone_directory() = default;
    /// `regions` maps zones to their regions, `returning` zones to the share of requests for which
    /// they count as usual ones.
    explicit zone_directory(std::map<zone_id, std::string> regions,
                            std::set<zone_id> evacuated = {},
                            std::map<zone_id, double> returning = {});

    /// Regions by zone.
    const std::map<zone_id, std::string> &regions() const { return m_regions; }
    /// Zones whose servers receive no requests.
    const std::set<zone_id> &evacuated() const { return m_evacuated; }
    /// Region of the zone, or null if it is not known.
    const std::string *regionOf(const zone_id &zone) const;
    /// Share of the requests, 0..1, for which the zone counts as a usual one.
    double shareOf(const zone_id &zone) const;
    bool isEvacuated(const zone_id &zone) const { return m_evacuated.contains(zone); }

    bool operator==(const zone_directory &) const = default;

private:
    std::map<zone_id, std::string> m_regions;
    std::set<zone_id> m_evacuated;
    std::map<zone_id, double> m_returning;
};

} // namespace waxwing
