#pragma once

#include "membership/member.h"

#include <cstddef>

namespace waxwing {

/// Upper bound of the encoded size of a member in a datagram, in bytes.
std::size_t gossipBytes(const member &value);
/// Upper bound of the encoded size of a fact in a datagram, in bytes.
std::size_t gossipBytes(const fact &value);
/// Upper bound of the size of an encoded datagram including updates and facts, in bytes.
std::size_t gossipBytes(const gossip_message &message);

} // namespace waxwing
