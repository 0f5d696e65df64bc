#pragma once

#include "command/command_types.h"
#include "membership/member.h"
#include "query/search_types.h"

#include <peer.pb.h>

#include <optional>

namespace waxwing {

/// Encodes the request of `ForwardSearch`.
wire::SearchRequest toWire(const search_request &value);
/// Encodes the reply of `ForwardSearch`.
wire::SearchReply toWire(const search_outcome &value);
/// Encodes the request of `ForwardCommand`.
wire::CommandRequest toWire(const command_request &value);
/// Encodes the reply of `ForwardCommand`.
wire::CommandReply toWire(const command_outcome &value);
/// Encodes the reply of `FetchState`.
wire::StateReply toWire(const peer_state &value);

/// Decodes a forwarded search. Like the other decoders, returns nullopt if it is malformed.
std::optional<search_request> fromWire(const wire::SearchRequest &value);
/// Decodes the outcome of a search. The hits must be sorted.
std::optional<search_outcome> fromWire(const wire::SearchReply &value);
/// Decodes a forwarded command. The payload must be JSON.
std::optional<command_request> fromWire(const wire::CommandRequest &value);
/// Decodes the outcome of a command. The result must be JSON.
std::optional<command_outcome> fromWire(const wire::CommandReply &value);
/// Decodes the state of a peer. The configuration is not validated here.
std::optional<peer_state> fromWire(const wire::StateReply &value);

} // namespace waxwing
