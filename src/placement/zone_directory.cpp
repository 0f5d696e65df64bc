#include "placement/zone_directory.h"

#include <utility>

namespace waxwing {

zone_directory::zone_directory(std::map<zone_id, std::string> regions, std::set<zone_id> evacuated,
                               std::map<zone_id, double> returning)
    : m_regions(std::move(regions)), m_evacuated(std::move(evacuated)),
      m_returning(std::move(returning))
{ }

double zone_directory::shareOf(const zone_id &zone) const
{
    const auto returning = m_returning.find(zone);
    return returning == m_returning.end() ? 1 : returning->second;
}

const std::string *zone_directory::regionOf(const zone_id &zone) const
{
    const auto known = m_regions.find(zone);
    return known == m_regions.end() ? nullptr : &known->second;
}

} // namespace waxwing
