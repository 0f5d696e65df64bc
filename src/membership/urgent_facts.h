#pragma once

#include "events/reduce_context.h"
#include "membership/membership.h"

#include <cstddef>
#include <string>

namespace waxwing {

/// Sends facts directly to several members without waiting for the next gossip probe.
class urgent_facts
{
public:
    /// Maximum number of members that receive a fact directly; the others receive it by gossip.
    /// Covers all current hosts.
    static constexpr std::size_t maxDirectReceivers = 16;

    /// Publishes a fact and sends it to up to `maxDirectReceivers` members.
    static void publish(reduce_context &context, membership &members, fact_kind kind,
                        const std::string &subject, std::uint64_t value,
                        std::chrono::milliseconds validFor);
};

} // namespace waxwing
