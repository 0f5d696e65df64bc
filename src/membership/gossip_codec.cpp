#include "membership/gossip_codec.h"

#include "membership/member_codec.h"

#include <google/protobuf/stubs/logging.h>

namespace waxwing {

std::string encodeGossip(const gossip_message &message)
{
    wire::Gossip target;
    target.set_kind(static_cast<std::uint32_t>(message.kind));
    toWire(message.sender, *target.mutable_sender());
    target.set_configuration_digest(message.configurationDigest);
    target.set_probe(message.probe);
    target.set_target(message.target.value);
    for (const member &update : message.updates)
        toWire(update, *target.add_updates());
    for (const fact &known : message.facts)
        toWire(known, *target.add_facts());
    return target.SerializeAsString();
}

std::optional<gossip_message> decodeGossip(std::string_view datagram)
{
    using message_kind = gossip_message::message_kind;
    // protobuf logs a line for each string that is not UTF-8, so any UDP sender could flood the
    // log.
    const google::protobuf::LogSilencer silencer;
    wire::Gossip source;
    if (datagram.size() > maxDatagramBytes
        || !source.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))
        || source.kind() > static_cast<std::uint32_t>(message_kind::Members))
        return std::nullopt;
    auto sender = fromWire(source.sender());
    if (!sender)
        return std::nullopt;
    gossip_message result{static_cast<message_kind>(source.kind()),
                          *std::move(sender),
                          source.configuration_digest(),
                          source.probe(),
                          {source.target()},
                          {},
                          {}};
    for (const auto &update : source.updates()) {
        auto value = fromWire(update);
        if (!value)
            return std::nullopt;
        result.updates.push_back(*std::move(value));
    }
    for (const auto &known : source.facts()) {
        auto value = fromWire(known);
        if (!value)
            return std::nullopt;
        result.facts.push_back(*std::move(value));
    }
    return result;
}

} // namespace waxwing
