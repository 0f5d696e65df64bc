#pragma once

#include "membership/member.h"

#include <cstddef>

namespace waxwing {

/// Upper bound of the bytes that a member takes in an encoded datagram.
std::size_t gossipBytes(const member &value);
/// Upper bound of the bytes that a fact takes in an encoded datagram.
std::size_t gossipBytes(const fact &value);
/// Upper bound of the bytes of an encoded datagram, its updates and facts included.
std::size_t gossipBytes(const gossip_message &message);

} // namespace waxwing
