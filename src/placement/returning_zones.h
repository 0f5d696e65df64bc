#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <chrono>
#include <map>
#include <optional>

namespace waxwing {

/// Zones whose evacuation ended a short time ago, and the share of requests for which they count as
/// usual zones. It rises in equal steps, since the servers of such a zone may be cold.
class returning_zones
{
public:
    /// Time after which a zone receives as many requests as any other. Servers of the fleets reach
    /// their usual pace within it.
    static constexpr std::chrono::milliseconds returnTime{20000};
    /// Time between two steps.
    static constexpr std::chrono::milliseconds stepTime{1000};

    /// Records that the evacuation of the zone ended.
    void onReturn(const zone_id &zone, time_point now) { m_since[zone] = now; }
    /// Records that the zone is evacuated.
    void onEvacuated(const zone_id &zone) { m_since.erase(zone); }
    /// Removes the zones whose time is over. Returns the shares of the others, above 0 and below 1.
    std::map<zone_id, double> advance(time_point now);
    /// When `advance` is due next; empty if no zone returns.
    std::optional<time_point> nextStep() const { return m_nextStep; }

private:
    /// When the evacuation of each zone ended.
    std::map<zone_id, time_point> m_since;
    std::optional<time_point> m_nextStep;
};

} // namespace waxwing
