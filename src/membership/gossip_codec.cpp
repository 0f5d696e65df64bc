#include "membership/gossip_codec.h"

#include "membership/member_codec.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <limits>

namespace waxwing {
namespace {

bool isQuotaKind(gossip_message::message_kind kind)
{
    return kind == gossip_message::message_kind::QuotaReport
        || kind == gossip_message::message_kind::QuotaAnswer;
}

std::uint32_t toWireTime(std::chrono::milliseconds time)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void toWire(const quota_message &value, wire::Quota &target)
{
    target.set_sequence(value.sequence);
    target.set_epoch(value.epoch);
    target.set_stamp(value.stamp);
    target.set_view(value.view);
    target.set_serving(value.isServing);
    for (const quota_entry &each : value.entries) {
        wire::QuotaEntry &entry = *target.add_entries();
        entry.set_organisation(each.organisation);
        entry.set_used(each.used);
        entry.set_acknowledged(each.acknowledged);
        entry.set_wanted(each.wanted);
        entry.set_permits(each.permits);
        entry.set_unused(each.unused);
        entry.set_late(each.late);
        entry.set_limited(each.isLimited);
        entry.set_next_permit_ms(toWireTime(each.nextPermit));
        entry.set_due_ms(toWireTime(each.due));
    }
}

/// Returns nullopt if there are more entries than a host sends.
std::optional<quota_message> fromWire(const wire::Quota &value)
{
    if (value.entries_size() > static_cast<int>(maxQuotaEntries))
        return std::nullopt;
    quota_message result{value.sequence(), value.epoch(),   value.stamp(),
                         value.view(),     value.serving(), {}};
    for (const wire::QuotaEntry &each : value.entries())
        result.entries.push_back({each.organisation(), each.used(), each.acknowledged(),
                                  each.wanted(), each.late(), each.permits(), each.unused(),
                                  each.limited(), std::chrono::milliseconds(each.next_permit_ms()),
                                  std::chrono::milliseconds(each.due_ms())});
    return result;
}

void toWire(const server_observation &value, wire::ServerObservation &target)
{
    target.set_server(value.server);
    target.set_slowness_percent(value.slownessPercent);
    target.set_age_ms(toWireTime(value.age));
}

server_observation fromWire(const wire::ServerObservation &value)
{
    return {value.server(), value.slowness_percent(), std::chrono::milliseconds(value.age_ms())};
}

} // namespace

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
    if (isQuotaKind(message.kind))
        toWire(message.quota, *target.mutable_quota());
    for (const server_observation &each : message.observations)
        toWire(each, *target.add_observations());
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
        || source.kind() > static_cast<std::uint32_t>(message_kind::ServerObservations)
        || source.observations_size() > static_cast<int>(maxServerObservations))
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
    if (isQuotaKind(result.kind)) {
        auto quota = fromWire(source.quota());
        if (!quota)
            return std::nullopt;
        result.quota = *std::move(quota);
    }
    for (const wire::ServerObservation &each : source.observations())
        result.observations.push_back(fromWire(each));
    return result;
}

} // namespace waxwing
