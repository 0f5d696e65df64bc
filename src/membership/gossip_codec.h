#pragma once

#include "membership/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Largest datagram between entry hosts, in bytes; fits into one packet on usual networks.
constexpr std::size_t maxDatagramBytes = 1200;

/// Serializes a message. Does not enforce `maxDatagramBytes`.
std::string encodeGossip(const gossip_message &message);

/// Parses a datagram. Returns nullopt if it is malformed or larger than `maxDatagramBytes`.
std::optional<gossip_message> decodeGossip(std::string_view datagram);

} // namespace waxwing
