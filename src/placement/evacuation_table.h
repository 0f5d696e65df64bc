#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Zones that are evacuated, as far as the host knows.
///
/// An evacuation ends only when the store says so. Handles copies of the store that are older than
/// what the host knows: those of other hosts, which have a lower revision, and those from which the
/// store was restored, which begin a new era with revisions of its own.
class evacuation_table
{
public:
    /// Time after the store came back from an older copy for which an evacuation stays that the
    /// copy does not list. The operators write it again within this time.
    static constexpr std::chrono::milliseconds restoreGracePeriod{2000};

    /// Begin or end of an evacuation.
    struct change
    {
        zone_id zone;
        bool isEvacuated = false;

        bool operator==(const change &) const = default;
    };
    using change_list = std::vector<change>;

    /// Records that the store lists the evacuation of the zone at `revision`.
    change_list put(const zone_id &zone, std::uint64_t revision);
    /// Records that the evacuation of the zone was removed at `revision`. Ignored if a later
    /// revision of it is known.
    change_list remove(const zone_id &zone, std::uint64_t revision);
    /// Replaces all evacuations by a complete list, which was read at `revision`. Those that the
    /// list cannot contain yet stay.
    change_list replace(const std::map<zone_id, std::uint64_t> &listed, std::uint64_t revision,
                        time_point now);
    /// Records that the store was restored from an older copy. Known evacuations stay until the
    /// next complete list, and for `restoreGracePeriod`.
    void onRestore(time_point now);
    /// Ends the evacuations whose time after a restore is over.
    change_list expire(time_point now);
    /// When `expire` is due next; empty if it is not.
    std::optional<time_point> nextExpiry() const;

    /// Evacuated zones.
    std::set<zone_id> zones() const;
    /// Zones that only the time after a restore keeps evacuated.
    std::size_t heldCount() const { return m_held.size(); }

private:
    /// Revision of each evacuation in the current era; 0 if it is only known from an earlier one.
    std::map<zone_id, std::uint64_t> m_revisions;
    /// Zones in `m_revisions` that the list after a restore did not contain.
    std::set<zone_id> m_held;
    /// Until when such zones stay evacuated.
    time_point m_heldUntil{};
};

} // namespace waxwing
