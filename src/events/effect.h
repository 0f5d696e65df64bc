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

/// Answer a search; the last effect of its request.
struct answer_search
{
    /// Number of the request.
    request_id id;
    /// The answer.
    search_outcome outcome;

    bool operator==(const answer_search &) const = default;
};

/// Answer a command; the last effect of its request.
struct answer_command
{
    /// Number of the request.
    request_id id;
    /// The answer.
    command_outcome outcome;

    bool operator==(const answer_command &) const = default;
};

/// Send a search to a backend server. Ends with `leaf_search_finished`.
struct send_leaf_search
{
    /// Number of the attempt.
    attempt_id attempt;
    /// Backend server.
    server_id server;
    /// Address of the backend server.
    endpoint address;
    /// The search.
    leaf_search search;
    /// Time left to the backend server.
    std::chrono::milliseconds timeout{0};
    /// Trace with the span of this attempt.
    trace_context trace;

    bool operator==(const send_leaf_search &) const = default;
};

/// Send a command to a backend server. Ends with `leaf_command_finished`.
struct send_leaf_command
{
    /// Number of the attempt.
    attempt_id attempt;
    /// Backend server.
    server_id server;
    /// Address of the backend server.
    endpoint address;
    /// The command.
    leaf_command command;
    /// Time left to the backend server.
    std::chrono::milliseconds timeout{0};
    /// Trace with the span of this attempt.
    trace_context trace;

    bool operator==(const send_leaf_command &) const = default;
};

/// Cancel a search that was sent to a backend server. The search still ends with its own event.
struct cancel_leaf_search
{
    /// Number of the attempt.
    attempt_id attempt;
    /// Address of the backend server.
    endpoint address;

    bool operator==(const cancel_leaf_search &) const = default;
};

/// Ask a backend server for its health. Ends with `leaf_health_reported` if it answers.
struct poll_health
{
    /// Backend server.
    server_id server;
    /// Address of the backend server.
    endpoint address;

    bool operator==(const poll_health &) const = default;
};

/// Use at most `limit` connections to a backend server.
struct limit_connections
{
    /// Address of the backend server.
    endpoint address;
    /// Connections.
    std::uint32_t limit = 1;

    bool operator==(const limit_connections &) const = default;
};

/// Pass a whole search to another entry host. Ends with `forwarded_search_finished`.
struct forward_search
{
    /// Number of the attempt.
    attempt_id attempt;
    /// gRPC address of the other host.
    endpoint peer;
    /// The search, with the time that is left.
    search_request request;

    bool operator==(const forward_search &) const = default;
};

/// Pass a command to another entry host. Ends with `forwarded_command_finished`.
struct forward_command
{
    /// Number of the attempt.
    attempt_id attempt;
    /// gRPC address of the other host.
    endpoint peer;
    /// The command, with the time that is left.
    command_request request;

    bool operator==(const forward_command &) const = default;
};

/// Call the platform. Ends with `platform_finished`.
struct call_platform
{
    /// Number of the attempt.
    attempt_id attempt;
    /// The call.
    platform_call call;

    bool operator==(const call_platform &) const = default;
};

/// Send a datagram to another entry host.
struct send_datagram
{
    /// Address of the other host.
    endpoint to;
    /// Content.
    gossip_message message;

    bool operator==(const send_datagram &) const = default;
};

/// Ask a peer for its state. Ends with `peer_state_fetched`.
struct fetch_peer_state
{
    /// Number of the attempt.
    attempt_id attempt;
    /// gRPC address of the peer.
    endpoint peer;

    bool operator==(const fetch_peer_state &) const = default;
};

/// Record a finished span.
struct record_span
{
    /// The span.
    finished_span span;

    bool operator==(const record_span &) const = default;
};

/// Write a line to the log.
struct write_log
{
    /// The line.
    log_entry entry;

    bool operator==(const write_log &) const = default;
};

/// Add to a counter.
struct count_metric
{
    /// Name of the counter, such as `hedges_total`.
    std::string name;
    /// Amount.
    std::uint64_t amount = 1;

    bool operator==(const count_metric &) const = default;
};

/// Add a sample to a distribution.
struct sample_metric
{
    /// Name of the distribution with its unit, such as `leaf_latency_seconds`.
    std::string name;
    /// Sample.
    double value = 0;

    bool operator==(const sample_metric &) const = default;
};

/// Stop accepting connections and close each one with its next answer.
struct close_callers
{
    bool operator==(const close_callers &) const = default;
};

/// End the process with exit code 0.
struct exit_process
{
    bool operator==(const exit_process &) const = default;
};

/// Anything that an entry host does.
using effect =
    std::variant<answer_search, answer_command, send_leaf_search, send_leaf_command,
                 cancel_leaf_search, poll_health, limit_connections, forward_search,
                 forward_command, call_platform, send_datagram, fetch_peer_state, record_span,
                 write_log, count_metric, sample_metric, close_callers, exit_process>;

/// Effects in the order in which they are carried out.
using effect_list = std::vector<effect>;

} // namespace waxwing
