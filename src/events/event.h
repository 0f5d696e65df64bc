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

/// Timer event; sent at the earliest deadline of the state.
struct tick
{
    bool operator==(const tick &) const = default;
};

/// The process started. First event of every run.
struct started
{
    /// Record of this host, with the incarnation of this start.
    member self;
    /// UDP addresses of members to probe first, from the settings.
    std::vector<endpoint> seeds;
    /// Seed of the random engine.
    std::uint64_t randomSeed = 0;
    /// gRPC addresses of members to fetch the state from first, from the settings.
    std::vector<endpoint> seedPeers;

    bool operator==(const started &) const = default;
};

/// A graceful shutdown was requested.
struct stop_requested
{
    bool operator==(const stop_requested &) const = default;
};

/// A caller or a peer sent a search.
struct search_received
{
    request_id id;
    search_request request;
    /// Whether a peer forwarded it; a forwarded request is not forwarded again.
    bool forwarded = false;

    bool operator==(const search_received &) const = default;
};

/// A caller or a peer sent a command.
struct command_received
{
    request_id id;
    command_request request;
    /// Whether a peer forwarded it; a forwarded request is not forwarded again.
    bool forwarded = false;

    bool operator==(const command_received &) const = default;
};

/// The caller of a request disconnected.
struct caller_gone
{
    request_id id;

    bool operator==(const caller_gone &) const = default;
};

/// A `send_leaf_search` completed.
struct leaf_search_finished
{
    attempt_id attempt;
    leaf_outcome outcome;

    bool operator==(const leaf_search_finished &) const = default;
};

/// A `send_leaf_command` completed.
struct leaf_command_finished
{
    attempt_id attempt;
    std::variant<leaf_command_answer, leaf_failure> outcome;

    bool operator==(const leaf_command_finished &) const = default;
};

/// A `poll_health` completed with a report. Failed polls cause no event.
struct leaf_health_reported
{
    server_id server;
    leaf_health health;

    bool operator==(const leaf_health_reported &) const = default;
};

/// The peer did not answer a forwarded request.
struct forward_failure
{
    /// Whether the peer may have received the request.
    bool mayHaveBeenReceived = true;
    /// Explanation for logs.
    std::string detail;

    bool operator==(const forward_failure &) const = default;
};

/// A `forward_search` completed.
struct forwarded_search_finished
{
    attempt_id attempt;
    std::variant<search_outcome, forward_failure> outcome;

    bool operator==(const forwarded_search_finished &) const = default;
};

/// A `forward_command` completed.
struct forwarded_command_finished
{
    attempt_id attempt;
    std::variant<command_outcome, forward_failure> outcome;

    bool operator==(const forwarded_command_finished &) const = default;
};

/// A `call_platform` completed.
struct platform_finished
{
    attempt_id attempt;
    platform_result result;
    /// Configuration parsed and validated from `result.value` outside of the reducer; null for
    /// other kinds of object and for invalid documents.
    configuration_copy parsed;

    bool operator==(const platform_finished &) const = default;
};

/// A datagram from another entry host.
struct datagram_received
{
    /// UDP address of the sender.
    endpoint from;
    gossip_message message;

    bool operator==(const datagram_received &) const = default;
};

/// A `fetch_peer_state` completed.
struct peer_state_fetched
{
    attempt_id attempt;
    /// Whether the peer answered.
    bool succeeded = false;
    /// State of the peer; valid only if `succeeded`.
    peer_state state;
    /// Configuration parsed and validated from `state.configurationText` outside of the reducer;
    /// null if there is none or it is invalid.
    configuration_copy parsed;

    bool operator==(const peer_state_fetched &) const = default;
};

/// Content of an event of an entry host.
using event_body =
    std::variant<tick, started, stop_requested, search_received, command_received, caller_gone,
                 leaf_search_finished, leaf_command_finished, leaf_health_reported,
                 forwarded_search_finished, forwarded_command_finished, platform_finished,
                 datagram_received, peer_state_fetched>;

/// Event with its time.
struct event
{
    /// Monotonic time of the event; never earlier than that of the previous event.
    time_point at;
    wall_time wall;
    event_body body;

    bool operator==(const event &) const = default;
};

} // namespace waxwing
