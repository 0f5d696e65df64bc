#pragma once

#include "membership/member.h"

#include <peer.pb.h>

#include <optional>

namespace waxwing {

/// Converts a member to its protobuf message.
void toWire(const member &value, wire::Member &target);

/// Converts a fact to its protobuf message.
void toWire(const fact &value, wire::Fact &target);

/// Parses a member. Returns nullopt if a required field is missing or a field is out of range.
std::optional<member> fromWire(const wire::Member &value);

/// Parses a fact. Returns nullopt if a required field is missing or a field is out of range.
std::optional<fact> fromWire(const wire::Fact &value);

} // namespace waxwing
