#pragma once

#include "command/command_types.h"
#include "configuration/configuration.h"
#include "core/clock.h"
#include "core/strong_id.h"
#include "membership/member.h"
#include "query/search_types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Time passed; sent at the earliest deadline of the state.
struct tick
{
    bool operator==(const tick &) const = default;
};

/// The process started. First event of every run.
struct started
{
    /// This host, with the incarnation of this start.
    member self;
    /// UDP addresses of members to contact first, from the settings.
    std::vector<endpoint> seeds;
    /// Seed of the random engine.
    std::uint64_t randomSeed = 0;
    /// gRPC addresses of members to fetch the state from first, from the settings.
    std::vector<endpoint> seedPeers;

    bool operator==(const started &) const = default;
};

/// The process was asked to stop gracefully.
struct stop_requested
{
    bool operator==(const stop_requested &) const = default;
};

/// A caller or a peer sent a search.
struct search_received
{
    /// Number of the request.
    request_id id;
    /// The search.
    search_request request;
    /// Whether a peer forwarded it; then it is not forwarded again.
    bool forwarded = false;

    bool operator==(const search_received &) const = default;
};

/// A caller or a peer sent a command.
struct command_received
{
    /// Number of the request.
    request_id id;
    /// The command.
    command_request request;
    /// Whether a peer forwarded it; then it is not forwarded again.
    bool forwarded = false;

    bool operator==(const command_received &) const = default;
};

/// The caller of a request disconnected.
struct caller_gone
{
    /// Number of the request.
    request_id id;

    bool operator==(const caller_gone &) const = default;
};

/// A `send_leaf_search` ended.
struct leaf_search_finished
{
    /// Number of the attempt.
    attempt_id attempt;
    /// What it ended with.
    leaf_outcome outcome;

    bool operator==(const leaf_search_finished &) const = default;
};

/// A `send_leaf_command` ended.
struct leaf_command_finished
{
    /// Number of the attempt.
    attempt_id attempt;
    /// What it ended with.
    std::variant<leaf_command_answer, leaf_failure> outcome;

    bool operator==(const leaf_command_finished &) const = default;
};

/// A `poll_health` ended with a report. Polls without one send nothing.
struct leaf_health_reported
{
    /// Backend server that reported.
    server_id server;
    /// The report.
    leaf_health health;

    bool operator==(const leaf_health_reported &) const = default;
};

/// A forwarded request got no answer from the peer.
struct forward_failure
{
    /// Whether the peer may have received the request.
    bool mayHaveBeenReceived = true;
    /// Explanation for logs.
    std::string detail;

    bool operator==(const forward_failure &) const = default;
};

/// A `forward_search` ended.
struct forwarded_search_finished
{
    /// Number of the attempt.
    attempt_id attempt;
    /// What it ended with.
    std::variant<search_outcome, forward_failure> outcome;

    bool operator==(const forwarded_search_finished &) const = default;
};

/// A `forward_command` ended.
struct forwarded_command_finished
{
    /// Number of the attempt.
    attempt_id attempt;
    /// What it ended with.
    std::variant<command_outcome, forward_failure> outcome;

    bool operator==(const forwarded_command_finished &) const = default;
};

/// A `call_platform` ended.
struct platform_finished
{
    /// Number of the attempt.
    attempt_id attempt;
    /// What it ended with.
    platform_result result;
    /// The configuration in `result.value`, parsed and checked by the shell; null for other kinds
    /// of object and for invalid documents.
    configuration_copy parsed;

    bool operator==(const platform_finished &) const = default;
};

/// A datagram from another entry host.
struct datagram_received
{
    /// Address that it came from.
    endpoint from;
    /// Decoded content.
    gossip_message message;

    bool operator==(const datagram_received &) const = default;
};

/// A `fetch_peer_state` ended.
struct peer_state_fetched
{
    /// Number of the attempt.
    attempt_id attempt;
    /// Whether the peer answered.
    bool succeeded = false;
    /// Content, if it answered.
    peer_state state;
    /// The configuration in `state.configurationText`, parsed and checked by the shell; null if
    /// there is none or if it is invalid.
    configuration_copy parsed;

    bool operator==(const peer_state_fetched &) const = default;
};

/// Anything that happens to an entry host.
using event_body =
    std::variant<tick, started, stop_requested, search_received, command_received, caller_gone,
                 leaf_search_finished, leaf_command_finished, leaf_health_reported,
                 forwarded_search_finished, forwarded_command_finished, platform_finished,
                 datagram_received, peer_state_fetched>;

/// Event with its time.
struct event
{
    /// Monotonic time of the event; never earlier than that of the event before.
    time_point at;
    /// Wall-clock time of the event.
    wall_time wall;
    /// What happened.
    event_body body;

    bool operator==(const event &) const = default;
};

} // namespace waxwing
