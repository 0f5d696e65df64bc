#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <map>
#include <optional>
#include <string>

namespace waxwing::relay {

/// Location of a zone relative to the own zone.
enum class zone_locality {
    SameZone,
    /// Another zone in the own region.
    SameRegion,
    /// A zone in another region or in an unknown one.
    OtherRegion,
};

/// Round-trip times to availability zones, estimated from the fastest answers of each zone.
class zone_latencies
{
public:
    /// `regions` maps zones to their regions.
    zone_latencies(zone_id own, std::map<zone_id, std::string> regions);

    /// A zone without a known region counts as `OtherRegion`.
    zone_locality locality(const zone_id &zone) const;
    /// Round-trip time to the zone minus the round-trip time within the own zone. Zero for the own
    /// zone.
    duration roundTrip(const zone_id &zone) const;
    /// Records an answer of a server in the zone, received `latency` after the request was sent.
    void onAnswer(const zone_id &zone, duration latency);

private:
    std::optional<duration> fastest(const zone_id &zone) const;

    zone_id m_own;
    std::map<zone_id, std::string> m_regions;
    std::map<zone_id, duration> m_fastest;
};

} // namespace waxwing::relay
