#pragma once

#include "command/command_types.h"
#include "core/clock.h"
#include "core/endpoint.h"
#include "core/strong_id.h"
#include "membership/member.h"
#include "query/search_types.h"
#include "telemetry/log_entry.h"
#include "telemetry/span.h"

#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Sends the response to a search; the last effect of its request.
struct answer_search
{
    request_id id;
    search_outcome outcome;

    bool operator==(const answer_search &) const = default;
};

/// Sends the response to a command; the last effect of its request.
struct answer_command
{
    request_id id;
    command_outcome outcome;

    bool operator==(const answer_command &) const = default;
};

/// Sends a search to a backend server. Completes with `leaf_search_finished`.
struct send_leaf_search
{
    attempt_id attempt;
    server_id server;
    endpoint address;
    leaf_search search;
    /// Time in which the backend server has to respond.
    std::chrono::milliseconds timeout{0};
    /// Trace context with the span of this attempt.
    trace_context trace;

    bool operator==(const send_leaf_search &) const = default;
};

/// Sends a command to a backend server. Completes with `leaf_command_finished`.
struct send_leaf_command
{
    attempt_id attempt;
    server_id server;
    endpoint address;
    leaf_command command;
    /// Time in which the backend server has to respond.
    std::chrono::milliseconds timeout{0};
    /// Trace context with the span of this attempt.
    trace_context trace;

    bool operator==(const send_leaf_command &) const = default;
};

/// Cancels a search that was sent to a backend server. The search still completes with
/// `leaf_search_finished`.
struct cancel_leaf_search
{
    attempt_id attempt;
    endpoint address;

    bool operator==(const cancel_leaf_search &) const = default;
};

/// Requests the health of a backend server. Completes with `leaf_health_reported` if the server
/// responds.
struct poll_health
{
    server_id server;
    endpoint address;

    bool operator==(const poll_health &) const = default;
};

/// Limits the number of connections to a backend server.
struct limit_connections
{
    endpoint address;
    /// Maximum number of connections.
    std::uint32_t limit = 1;

    bool operator==(const limit_connections &) const = default;
};

/// Forwards a whole search to another entry host. Completes with `forwarded_search_finished`.
struct forward_search
{
    attempt_id attempt;
    /// gRPC address of the other host.
    endpoint peer;
    /// The search, with the remaining time as timeout.
    search_request request;

    bool operator==(const forward_search &) const = default;
};

/// Forwards a command to another entry host. Completes with `forwarded_command_finished`.
struct forward_command
{
    attempt_id attempt;
    /// gRPC address of the other host.
    endpoint peer;
    /// The command, with the remaining time as timeout.
    command_request request;

    bool operator==(const forward_command &) const = default;
};

/// Calls the platform. Completes with `platform_finished`.
struct call_platform
{
    attempt_id attempt;
    platform_call call;

    bool operator==(const call_platform &) const = default;
};

/// Sends a datagram to another entry host.
struct send_datagram
{
    /// UDP address of the other host.
    endpoint to;
    gossip_message message;

    bool operator==(const send_datagram &) const = default;
};

/// Requests the state of a peer. Completes with `peer_state_fetched`.
struct fetch_peer_state
{
    attempt_id attempt;
    /// gRPC address of the peer.
    endpoint peer;

    bool operator==(const fetch_peer_state &) const = default;
};

/// Records a finished span.
struct record_span
{
    finished_span span;

    bool operator==(const record_span &) const = default;
};

/// Writes an entry to the log.
struct write_log
{
    log_entry entry;

    bool operator==(const write_log &) const = default;
};

/// Adds to a counter.
struct count_metric
{
    /// Name of the counter, such as `hedges_total`.
    std::string name;
    std::uint64_t amount = 1;

    bool operator==(const count_metric &) const = default;
};

/// Adds a sample to a distribution.
struct sample_metric
{
    /// Name of the distribution with its unit, such as `leaf_latency_seconds`.
    std::string name;
    double value = 0;

    bool operator==(const sample_metric &) const = default;
};

/// Stops accepting connections and closes each open one with its next response.
struct close_callers
{
    bool operator==(const close_callers &) const = default;
};

/// Ends the process with exit code 0.
struct exit_process
{
    /// Until when the process may wait for answers that callers have not taken yet.
    time_point by{};

    bool operator==(const exit_process &) const = default;
};

/// Action of an entry host outside of the reducer.
using effect =
    std::variant<answer_search, answer_command, send_leaf_search, send_leaf_command,
                 cancel_leaf_search, poll_health, limit_connections, forward_search,
                 forward_command, call_platform, send_datagram, fetch_peer_state, record_span,
                 write_log, count_metric, sample_metric, close_callers, exit_process>;

/// Effects in order of execution.
using effect_list = std::vector<effect>;

} // namespace waxwing
