#pragma once

#include "events/effect.h"
#include "relay/relay_types.h"
#include "relay/store_types.h"

#include <memory>
#include <variant>
#include <vector>

namespace waxwing::relay {

/// Answer a request; the last effect of the request.
struct answer_request
{
    /// Number of the request.
    request_id id;
    /// The answer.
    relay_answer answer;

    bool operator==(const answer_request &) const = default;
};

/// Send a request to a backend server. Ends with `leaf_answered` or `leaf_failed`.
struct send_to_leaf
{
    /// Number of the attempt.
    attempt_id attempt;
    /// Backend server.
    server_id server;
    /// Address of the backend server.
    endpoint address;
    /// The request.
    std::shared_ptr<const relay_request> request;
    /// Time left to the backend server.
    std::chrono::milliseconds timeLeft{0};

    bool operator==(const send_to_leaf &) const = default;
};

/// End an attempt by closing its connection; no event follows.
struct cancel_attempt
{
    /// Number of the attempt.
    attempt_id attempt;

    bool operator==(const cancel_attempt &) const = default;
};

/// Close the idle connections to an address that no server of the configuration has.
struct close_idle_connections
{
    /// The address.
    endpoint address;

    bool operator==(const close_idle_connections &) const = default;
};

/// Call the store. Ends with `store_call_ended`.
struct call_store
{
    /// The call.
    store_call call;

    bool operator==(const call_store &) const = default;
};

/// Answer other hosts that asked for what the store holds.
struct answer_peer
{
    /// Numbers of the questions that have the same answer.
    std::vector<request_id> ids;
    /// The answer.
    std::variant<store_answer, store_failure> answer;

    bool operator==(const answer_peer &) const = default;
};

/// Apply new limits to callers.
struct set_caller_limits
{
    /// The limits.
    caller_limits limits;

    bool operator==(const set_caller_limits &) const = default;
};

/// Tell each caller with its next answer to use another connection.
struct announce_close
{
    bool operator==(const announce_close &) const = default;
};

/// Anything that a relay host does. The effects of the parts that it shares with the entry host
/// are those of the entry host.
using relay_effect =
    std::variant<answer_request, send_to_leaf, cancel_attempt, close_idle_connections, call_store,
                 answer_peer, set_caller_limits, announce_close, send_datagram, write_log,
                 count_metric, sample_metric, close_callers, exit_process>;

/// Effects in the order in which they are carried out.
using relay_effect_list = std::vector<relay_effect>;

/// Appends a log line.
inline void appendLog(relay_effect_list &effects, log_level level, std::string message,
                      std::vector<std::pair<std::string, std::string>> fields)
{
    effects.emplace_back(write_log{{level, std::move(message), std::move(fields)}});
}

} // namespace waxwing::relay
