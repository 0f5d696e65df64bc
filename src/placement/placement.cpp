#include "placement/placement.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

bool contains(placement::region_list regions, const std::string &region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

placement::placement(std::shared_ptr<const zone_directory> zones, region_list routeRegions,
                     region_list organisationRegions, double draw)
    : m_zones(std::move(zones)), m_routeRegions(routeRegions),
      m_organisationRegions(organisationRegions), m_draw(draw)
{ }

placement placement::anywhere()
{
    static const auto none = std::make_shared<const zone_directory>();
    return {none, {}, {}};
}

bool placement::isInAllowedRegion(const zone_id &zone) const
{
    if (!hasRegions())
        return true;
    const std::string *region = m_zones->regionOf(zone);
    return region != nullptr && contains(m_routeRegions, *region)
        && contains(m_organisationRegions, *region);
}

bool placement::allows(const zone_id &zone) const
{
    return !m_zones->isEvacuated(zone) && isInAllowedRegion(zone);
}

placement_state placement::state() const
{
    if (!hasRegions())
        return placement_state::Open;
    placement_state result = placement_state::NoRegion;
    for (const auto &[zone, region] : m_zones->regions()) {
        if (allows(zone))
            return placement_state::Open;
        if (isInAllowedRegion(zone))
            result = placement_state::Evacuated;
    }
    return result;
}

bool placement::overlaps(const placement &other) const
{
    if (!hasRegions() || !other.hasRegions())
        return true;
    const auto &regions = m_zones->regions();
    return std::any_of(regions.begin(), regions.end(), [this, &other](const auto &each) {
        return allows(each.first) && other.allows(each.first);
    });
}

bool placement::operator==(const placement &other) const
{
    return (m_zones == other.m_zones || *m_zones == *other.m_zones)
        && std::ranges::equal(m_routeRegions, other.m_routeRegions)
        && std::ranges::equal(m_organisationRegions, other.m_organisationRegions);
}

} // namespace waxwing
