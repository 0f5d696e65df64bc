#pragma once

#include "events/reduce_context.h"
#include "membership/membership.h"

#include <cstddef>
#include <string>

namespace waxwing {

/// Sends facts that must not wait for the next probe to several members at once.
class urgent_facts
{
public:
    /// Members that get a fact directly; gossip reaches the others. Covers all of today's hosts.
    static constexpr std::size_t directReceivers = 16;

    /// Publishes a fact and sends it to up to `directReceivers` members.
    static void publish(reduce_context &context, membership &members, fact_kind kind,
                        const std::string &subject, std::uint64_t value,
                        std::chrono::milliseconds validFor);
};

} // namespace waxwing
