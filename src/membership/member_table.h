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
    /// Maximum number of members; further ones are ignored so that malformed input cannot exhaust
    /// memory.
    std::size_t maxMembers = 5000;
    /// How long dead members are kept.
    std::chrono::minutes deadMemory{10};

    bool operator==(const member_table_settings &) const = default;
};

/// Known entry hosts with their states. The record with the higher incarnation takes precedence,
/// and at equal incarnations the one with the higher state.
class member_table
{
public:
    /// Effect of a merged record.
    enum class change {
        /// Nothing that has to be disseminated.
        None,
        /// State or incarnation of a known member.
        Updated,
        /// A member that was not known before.
        Joined,
        /// A member that was dead is no longer dead.
        Revived,
    };

    explicit member_table(member_table_settings settings);

    /// Sets the record of this host.
    void setSelf(const member &self);
    /// This host; an empty record before `setSelf`.
    const member &self() const;
    /// Merges a record of another host. A suspicion times out `suspicionTime` after `now`.
    change merge(const member &record, time_point now, duration suspicionTime);
    /// Marks suspects as dead after their suspicion times out and returns them. Removes dead
    /// members after `deadMemory`.
    std::vector<host_id> expire(time_point now);
    /// Extends all suspicions by `pause`, during which this host could not receive refutations.
    void delaySuspicions(duration pause);
    /// When `expire` is next due.
    std::optional<time_point> nextDeadline() const;

    /// Record of a host; null if unknown. Invalidated when the member is removed.
    const member *find(const host_id &host) const;
    const std::map<host_id, member> &all() const { return m_members; }
    /// Hosts that are alive or suspect.
    std::vector<member> active() const;
    /// Number of hosts that are alive or suspect.
    std::size_t activeCount() const { return m_activeHosts.size(); }
    /// Up to `count` random active hosts other than this host and `excluded`. Does not iterate over
    /// all members.
    std::vector<member> chooseActive(std::size_t count, const host_id &excluded,
                                     random_engine &random) const;
    /// Incremented whenever a host becomes active or inactive, or the zone or an address of an
    /// active host changes.
    std::uint64_t activeVersion() const { return m_activeVersion; }
    /// Whether a member in this state can receive requests and holds connections.
    static bool isActive(member_state state);

private:
    void replace(member &known, const member &record);
    void setActive(const host_id &host, bool active);
    void setDeadline(const host_id &host, std::optional<time_point> due);

    member_table_settings m_settings;
    host_id m_self;
    std::map<host_id, member> m_members;
    /// When the suspicion of a suspect times out, or when a dead member is removed.
    std::map<host_id, time_point> m_deadlines;
    std::set<std::pair<time_point, host_id>> m_deadlineOrder;
    /// Active hosts in no particular order, and the index of each host in it.
    std::vector<host_id> m_activeHosts;
    std::map<host_id, std::size_t> m_activePositions;
    std::uint64_t m_activeVersion = 0;
};

} // namespace waxwing
