#pragma once

#include "core/random.h"
#include "core/strong_id.h"
#include "membership/member_table.h"

#include <optional>
#include <vector>

namespace waxwing {

/// Order of probes: round robin over a shuffled list, which bounds the time between two probes of a
/// member.
class probe_schedule
{
public:
    /// Inserts a member at a random position in the rest of the current round.
    void add(const host_id &host, random_engine &random);
    /// Next member that is neither dead nor this host; empty if there is none.
    std::optional<host_id> next(const member_table &members, random_engine &random);

private:
    void startRound(const member_table &members, random_engine &random);

    std::vector<host_id> m_order;
    std::size_t m_next = 0;
};

} // namespace waxwing
