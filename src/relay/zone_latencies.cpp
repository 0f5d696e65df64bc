#include "relay/zone_latencies.h"

#include <algorithm>

namespace waxwing::relay {
namespace {

/// Round-trip times until the first answer from a zone; typical within and between regions.
constexpr std::chrono::milliseconds assumedInRegion{3};
constexpr std::chrono::milliseconds assumedBetweenRegions{30};
/// Each answer raises the fastest latency by this fraction of itself (1/2000), so that the estimate
/// follows a path that became longer.
constexpr int minLatencyAgingDivisor = 2000;

} // namespace

zone_latencies::zone_latencies(zone_id own, std::map<zone_id, std::string> regions)
    : m_own(std::move(own)), m_regions(std::move(regions))
{ }

zone_locality zone_latencies::locality(const zone_id &zone) const
{
    if (zone == m_own)
        return zone_locality::SameZone;
    const auto here = m_regions.find(m_own);
    const auto there = m_regions.find(zone);
    const bool known = here != m_regions.end() && there != m_regions.end();
    return known && here->second == there->second ? zone_locality::SameRegion
                                                  : zone_locality::OtherRegion;
}

std::optional<duration> zone_latencies::fastest(const zone_id &zone) const
{
    const auto known = m_fastest.find(zone);
    return known == m_fastest.end() ? std::nullopt : std::optional<duration>(known->second);
}

duration zone_latencies::roundTrip(const zone_id &zone) const
{
    const zone_locality away = locality(zone);
    if (away == zone_locality::SameZone)
        return duration::zero();
    const std::optional<duration> there = fastest(zone);
    if (!there.has_value())
        return away == zone_locality::SameRegion ? assumedInRegion : assumedBetweenRegions;
    return std::max(duration::zero(), *there - fastest(m_own).value_or(duration::zero()));
}

void zone_latencies::onAnswer(const zone_id &zone, duration latency)
{
    const auto [known, isNew] = m_fastest.emplace(zone, latency);
    if (!isNew)
        known->second = std::min(known->second + known->second / minLatencyAgingDivisor, latency);
}

} // namespace waxwing::relay
