#pragma once

#include "command/command_types.h"
#include "membership/member.h"
#include "query/search_types.h"

#include <peer.pb.h>

#include <optional>

namespace waxwing {

/// Messages of the gRPC service `Peer`. Reading gives nothing where a message is malformed.
wire::SearchRequest toWire(const search_request &value);
wire::SearchReply toWire(const search_outcome &value);
wire::CommandRequest toWire(const command_request &value);
wire::CommandReply toWire(const command_outcome &value);
wire::StateReply toWire(const peer_state &value);

std::optional<search_request> fromWire(const wire::SearchRequest &value);
std::optional<search_outcome> fromWire(const wire::SearchReply &value);
std::optional<command_request> fromWire(const wire::CommandRequest &value);
std::optional<command_outcome> fromWire(const wire::CommandReply &value);
std::optional<peer_state> fromWire(const wire::StateReply &value);

} // namespace waxwing
