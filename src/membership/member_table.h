#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "membership/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace waxwing {

/// Limits of `member_table`.
struct member_table_settings
{
    /// Members kept; further ones are ignored, so that malformed input cannot fill the memory.
    std::size_t maxMembers = 5000;
    /// Time for which dead members are remembered.
    std::chrono::minutes deadMemory{10};

    bool operator==(const member_table_settings &) const = default;
};

/// Known entry hosts with their states. A record with a higher incarnation wins, at the same
/// incarnation the one with the higher state.
class member_table
{
public:
    /// What a merged record changed.
    enum class change {
        /// Nothing that others need to know.
        None,
        /// State or incarnation of a known member.
        Updated,
        /// A member that was not known before.
        Joined,
        /// A member that was dead is not dead any more.
        Revived,
    };

    explicit member_table(member_table_settings settings);

    /// Sets the record of this host.
    void setSelf(const member &self);
    /// This host; an empty record before `setSelf`.
    const member &self() const;
    /// Takes over a record of another host. A suspicion ends `suspicionTime` after `now`.
    change merge(const member &record, time_point now, duration suspicionTime);
    /// Declares suspects dead whose time is over, and returns them. Forgets old dead members.
    std::vector<host_id> expire(time_point now);
    /// Gives suspects more time after a pause of this host, during which it heard no refutation.
    void delaySuspicions(duration pause);
    /// When `expire` is next due.
    std::optional<time_point> nextDeadline() const;

    /// The record of a host, or null.
    const member *find(const host_id &host) const;
    /// Every known host.
    const std::map<host_id, member> &all() const { return m_members; }
    /// Hosts that are alive or suspect.
    std::vector<member> active() const;
    /// Number of hosts that are alive or suspect.
    std::size_t activeCount() const { return m_activeHosts.size(); }
    /// Up to `count` random active hosts other than this host and `excluded`, without a look at
    /// each member.
    std::vector<member> chooseActive(std::size_t count, const host_id &excluded,
                                     random_engine &random) const;
    /// Grows whenever a host becomes active or inactive, or an active one changes its place.
    std::uint64_t activeVersion() const { return m_activeVersion; }
    /// Whether a member in this state may get work and holds connections.
    static bool isActive(member_state state);

private:
    void replace(member &known, const member &record);
    void setActive(const host_id &host, bool active);
    void setDeadline(const host_id &host, std::optional<time_point> due);

    member_table_settings m_settings;
    host_id m_self;
    std::map<host_id, member> m_members;
    /// End of the suspicion of suspects, end of the memory of dead members.
    std::map<host_id, time_point> m_deadlines;
    std::set<std::pair<time_point, host_id>> m_deadlineOrder;
    /// Active hosts in no particular order, and their positions in it.
    std::vector<host_id> m_activeHosts;
    std::map<host_id, std::size_t> m_activePositions;
    std::uint64_t m_activeVersion = 0;
};

} // namespace waxwing
