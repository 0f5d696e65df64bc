#pragma once

#include "command/command_types.h"
#include "membership/member.h"
#include "query/search_types.h"

#include <peer.pb.h>

#include <optional>

namespace waxwing {

/// Call `ForwardSearch`.
wire::SearchRequest toWire(const search_request &value);
/// Reply to `ForwardSearch`.
wire::SearchReply toWire(const search_outcome &value);
/// Call `ForwardCommand`.
wire::CommandRequest toWire(const command_request &value);
/// Reply to `ForwardCommand`.
wire::CommandReply toWire(const command_outcome &value);
/// Reply to `FetchState`.
wire::StateReply toWire(const peer_state &value);

/// Reads a forwarded search; empty if it is malformed, as for the other messages.
std::optional<search_request> fromWire(const wire::SearchRequest &value);
/// Reads the outcome of a search. Its hits have to be in order.
std::optional<search_outcome> fromWire(const wire::SearchReply &value);
/// Reads a forwarded command. Its payload has to be JSON.
std::optional<command_request> fromWire(const wire::CommandRequest &value);
/// Reads the outcome of a command. Its result has to be JSON.
std::optional<command_outcome> fromWire(const wire::CommandReply &value);
/// Reads the state of a peer. The configuration is not checked here.
std::optional<peer_state> fromWire(const wire::StateReply &value);

} // namespace waxwing
