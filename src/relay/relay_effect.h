#pragma once

#include "events/effect.h"
#include "relay/relay_types.h"
#include "relay/store_types.h"

#include <memory>
#include <variant>
#include <vector>

namespace waxwing::relay {

/// Sends the final answer to the caller. Emitted once per request, as its last effect.
struct answer_request
{
    request_id id;
    relay_answer answer;

    bool operator==(const answer_request &) const = default;
};

/// Sends a request to a backend server. Completes with `leaf_answered` or `leaf_failed`, unless the
/// attempt is cancelled first.
struct send_to_leaf
{
    attempt_id attempt;
    server_id server;
    endpoint address;
    std::shared_ptr<const relay_request> request;
    /// When the request is answered at the latest. The server is told the time that is left when
    /// the request is written.
    time_point deadline{};
    /// The caller, as the server is told.
    caller_identity caller{};
    /// Whether the caller gets the answer as it is, so that a large one can be sent in pieces.
    bool mayStream = false;

    bool operator==(const send_to_leaf &) const = default;
};

/// Closes the connection of an attempt. No event follows for the attempt.
struct cancel_attempt
{
    attempt_id attempt;

    bool operator==(const cancel_attempt &) const = default;
};

/// Sends the final answer to a request that another host forwarded. Emitted once per request, as
/// its last effect.
struct answer_forwarded
{
    request_id id;
    relay_answer answer;

    bool operator==(const answer_forwarded &) const = default;
};

/// Forwards a request to another host. Completes with `forward_answered` or `forward_failed`,
/// unless it is cancelled first.
struct forward_request
{
    attempt_id attempt;
    /// This host and its routes.
    forwarding_origin origin;
    /// The other host.
    endpoint address;
    std::shared_ptr<const relay_request> request;
    /// When the other host has to have answered. It is told the time that is left when the request
    /// is written.
    time_point deadline{};
    /// The caller. If it was checked, the request is sent in a form that hosts which do not check
    /// callers reject, since they would pass the API key to a server.
    caller_identity caller{};
    /// Whether the request may be served in some regions only. Hosts that do not know this would
    /// send it to any region, so that it is sent in a form that they reject.
    bool hasAllowedRegions = false;

    bool operator==(const forward_request &) const = default;
};

/// Closes the connection of a forwarded request. No event follows for it.
struct cancel_forward
{
    attempt_id attempt;

    bool operator==(const cancel_forward &) const = default;
};

/// Closes the idle connections to an address that no registered backend server uses any more.
struct close_idle_connections
{
    endpoint address;

    bool operator==(const close_idle_connections &) const = default;
};

/// Calls the store, or a host that holds a copy of it. Completes with `store_call_ended`.
struct call_store
{
    store_call call;

    bool operator==(const call_store &) const = default;
};

/// Answers store calls of other hosts.
struct answer_peer
{
    /// Requests that get the same answer.
    std::vector<request_id> ids;
    std::variant<store_answer, store_failure> answer;
    /// Whether the answer is sent compressed.
    bool compressed = false;
    /// Era of the store that the answer comes from.
    std::uint64_t era = 0;

    bool operator==(const answer_peer &) const = default;
};

/// Replaces the limits that apply to callers.
struct set_caller_limits
{
    caller_limits limits;

    bool operator==(const set_caller_limits &) const = default;
};

/// Announces to each caller, in the next answer on its connection, that the connection closes.
struct announce_close
{
    bool operator==(const announce_close &) const = default;
};

/// Effect of the reducer of a relay host. Components shared with the entry host emit the effect
/// types of the entry host.
using relay_effect =
    std::variant<answer_request, answer_forwarded, send_to_leaf, cancel_attempt, forward_request,
                 cancel_forward, close_idle_connections, call_store, answer_peer, set_caller_limits,
                 announce_close, send_datagram, write_log, count_metric, sample_metric,
                 close_callers, exit_process>;

/// Effects in execution order.
using relay_effect_list = std::vector<relay_effect>;

inline void appendLog(relay_effect_list &effects, log_level level, std::string message,
                      std::vector<std::pair<std::string, std::string>> fields)
{
    effects.emplace_back(write_log{{level, std::move(message), std::move(fields)}});
}

} // namespace waxwing::relay
