#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <map>
#include <optional>
#include <string>

namespace waxwing::relay {

/// How far away a zone is.
enum class zone_locality {
    /// The own zone.
    SameZone,
    /// Another zone of the own region.
    SameRegion,
    /// A zone of another region.
    OtherRegion,
};

/// Time to the zones and back, learned from the fastest answers from each.
class zone_latencies
{
public:
    /// `regions` names the region of each zone.
    zone_latencies(zone_id own, std::map<zone_id, std::string> regions);

    /// How far away the zone is. A zone that is not listed counts as far.
    zone_locality locality(const zone_id &zone) const;
    /// Time to the zone and back, beyond that within the own zone.
    duration roundTrip(const zone_id &zone) const;
    /// A server of the zone answered within `latency`.
    void onAnswer(const zone_id &zone, duration latency);

private:
    std::optional<duration> fastest(const zone_id &zone) const;

    zone_id m_own;
    std::map<zone_id, std::string> m_regions;
    std::map<zone_id, duration> m_fastest;
};

} // namespace waxwing::relay
