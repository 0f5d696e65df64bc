#include "membership/urgent_facts.h"

#include <algorithm>
#include <iterator>

namespace waxwing {
namespace {

/// Picks up to `count` random members other than `self`.
std::vector<member> pickReceivers(random_engine &random, const membership &members,
                                  std::size_t count)
{
    std::vector<member> active = members.activeMembers();
    std::erase_if(active, [&](const member &m) { return m.host == members.self().host; });
    const std::size_t receiverCount = std::min(count, active.size());
    for (std::size_t i = 0; i < receiverCount; ++i) {
        const auto rest = static_cast<std::uint32_t>(active.size() - i);
        std::swap(active[i], active[i + random(rest)]);
    }
    active.resize(receiverCount);
    return active;
}

} // namespace

void urgent_facts::publish(reduce_context &context, membership &members, fact_kind kind,
                           const std::string &subject, std::uint64_t value,
                           std::chrono::milliseconds validFor)
{
    members.publish(context, kind, subject, value, validFor);
    gossip_message message;
    // This acknowledgement belongs to no probe; the receiver only applies the sender and the fact.
    message.kind = gossip_message::message_kind::Acknowledge;
    message.sender = members.self();
    for (const fact &known : members.facts(context.now))
        if (known.kind == kind && known.subject == subject && known.origin == members.self().host)
            message.facts = {known};
    if (message.facts.empty())
        return;
    for (const member &receiver : pickReceivers(context.random, members, maxDirectReceivers))
        context.emit(send_datagram{receiver.gossip, message});
}

} // namespace waxwing
