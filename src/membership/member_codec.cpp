#include "membership/member_codec.h"

namespace waxwing {
namespace {

/// Maximum accepted length of an id, in bytes.
constexpr std::size_t maxIdBytes = 256;
/// Maximum accepted validity, in milliseconds; keeps sums of times far below overflow.
constexpr std::uint64_t maxValidForMs = 7ULL * 24 * 3600 * 1000;

void endpointToWire(const endpoint &value, wire::Endpoint &target)
{
    target.set_address(value.address);
    target.set_port(value.port);
}

std::optional<endpoint> endpointFromWire(const wire::Endpoint &value)
{
    auto parsed = endpoint::parse(value.address() + ":" + std::to_string(value.port()));
    if (!parsed.ok() || parsed->port == 0)
        return std::nullopt;
    return *std::move(parsed);
}

bool isId(const std::string &text)
{
    return !text.empty() && text.size() <= maxIdBytes;
}

} // namespace

void toWire(const member &value, wire::Member &target)
{
    target.set_host(value.host.value);
    target.set_zone(value.zone.value);
    endpointToWire(value.gossip, *target.mutable_gossip());
    endpointToWire(value.peer, *target.mutable_peer());
    target.set_incarnation(value.incarnation);
    target.set_state(static_cast<std::uint32_t>(value.state));
    target.set_configuration_revision(value.configurationRevision);
    target.set_link_mbps(value.linkMbps);
}

void toWire(const fact &value, wire::Fact &target)
{
    target.set_kind(static_cast<std::uint32_t>(value.kind));
    target.set_subject(value.subject);
    target.set_origin(value.origin.value);
    target.set_sequence(value.sequence);
    target.set_value(value.value);
    target.set_valid_for_ms(static_cast<std::uint64_t>(value.validFor.count()));
}

std::optional<member> fromWire(const wire::Member &value)
{
    auto gossip = endpointFromWire(value.gossip());
    auto peer = endpointFromWire(value.peer());
    if (!isId(value.host()) || !isId(value.zone()) || !gossip || !peer
        || value.state() > static_cast<std::uint32_t>(member_state::Dead))
        return std::nullopt;
    return member{{value.host()},
                  {value.zone()},
                  *std::move(gossip),
                  *std::move(peer),
                  value.incarnation(),
                  static_cast<member_state>(value.state()),
                  value.configuration_revision(),
                  value.link_mbps()};
}

std::optional<fact> fromWire(const wire::Fact &value)
{
    if (!isId(value.subject()) || !isId(value.origin())
        || value.kind() > static_cast<std::uint32_t>(fact_kind::RequestCrash)
        || value.valid_for_ms() > maxValidForMs)
        return std::nullopt;
    return fact{static_cast<fact_kind>(value.kind()),
                value.subject(),
                {value.origin()},
                value.sequence(),
                value.value(),
                std::chrono::milliseconds(static_cast<std::int64_t>(value.valid_for_ms()))};
}

} // namespace waxwing
