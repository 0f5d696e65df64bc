#pragma once

#include "core/random.h"
#include "core/strong_id.h"
#include "membership/member_table.h"

#include <optional>
#include <vector>

namespace waxwing {

/// Order in which members are probed: round robin over a shuffled list, so that the time until a
/// member is probed again is bounded.
class probe_schedule
{
public:
    /// Adds a member at a random place of the current round.
    void add(const host_id &host, random_engine &random);
    /// Next member that is neither dead nor this host; empty if there is none.
    std::optional<host_id> next(const member_table &members, random_engine &random);

private:
    void startRound(const member_table &members, random_engine &random);

    std::vector<host_id> m_order;
    std::size_t m_next = 0;
};

} // namespace waxwing
