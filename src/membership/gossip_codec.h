#pragma once

#include "membership/member.h"

#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Largest datagram between entry hosts, in bytes; fits into one packet on usual networks.
constexpr std::size_t maxDatagramBytes = 1200;

/// Datagram of a message.
std::string encodeGossip(const gossip_message &message);

/// Reads a datagram; empty if it is malformed or larger than `maxDatagramBytes`.
std::optional<gossip_message> decodeGossip(std::string_view datagram);

} // namespace waxwing
