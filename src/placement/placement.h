#pragma once

#include "placement/zone_directory.h"

#include <memory>
#include <span>
#include <string>

namespace waxwing {

/// Whether a request may be served at all.
enum class placement_state {
    /// Some zone is allowed, or the request is not restricted to regions.
    Open,
    /// Every zone in the allowed regions is evacuated.
    Evacuated,
    /// No known zone is in a region that both the route and the organisation allow.
    NoRegion,
};

/// Zones whose servers and hosts may receive one request and its body.
///
/// The regions are those that the route and the organisation of the request allow together; the
/// evacuated zones are those of the moment at which the value is made. Immutable.
class placement
{
public:
    using region_list = std::span<const std::string>;

    /// `zones` must not be null. An empty list of regions allows any region. The lists must outlive
    /// the value; requests own them through their routes. `draw`, at least 0 and below 1, is a
    /// random number that stays the same for the request.
    placement(std::shared_ptr<const zone_directory> zones, region_list routeRegions,
              region_list organisationRegions, double draw = 0);
    /// Allows every zone.
    static placement anywhere();

    /// Whether servers and hosts in the zone may receive the request. Where regions are restricted,
    /// a zone without a known region is not allowed.
    bool allows(const zone_id &zone) const;
    /// Whether servers in other zones come first, since the zone returns from an evacuation and
    /// does not receive its usual share of requests yet.
    bool prefersOthers(const zone_id &zone) const { return m_draw >= m_zones->shareOf(zone); }
    /// Whether the regions are restricted.
    bool hasRegions() const { return !m_routeRegions.empty() || !m_organisationRegions.empty(); }
    /// Whether a zone may be disallowed.
    bool isRestricted() const { return hasRegions() || !m_zones->evacuated().empty(); }
    placement_state state() const;
    /// Whether some zone may be allowed by both.
    bool overlaps(const placement &other) const;

    /// Whether both allow the same zones for the same reasons. The draws may differ.
    bool operator==(const placement &other) const;

private:
    bool isInAllowedRegion(const zone_id &zone) const;

    std::shared_ptr<const zone_directory> m_zones;
    region_list m_routeRegions;
    region_list m_organisationRegions;
    double m_draw;
};

} // namespace waxwing
