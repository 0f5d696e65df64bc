#pragma once

#include "membership/member.h"

#include <peer.pb.h>

#include <optional>

namespace waxwing {

/// Writes a member into a message between entry hosts.
void toWire(const member &value, wire::Member &target);

/// Writes a fact into a message between entry hosts.
void toWire(const fact &value, wire::Fact &target);

/// Reads a member; empty if a field is missing or out of range.
std::optional<member> fromWire(const wire::Member &value);

/// Reads a fact; empty if a field is missing or out of range.
std::optional<fact> fromWire(const wire::Fact &value);

} // namespace waxwing
