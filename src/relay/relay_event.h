#pragma once

#include "events/event.h"
#include "relay/relay_types.h"
#include "relay/store_types.h"

#include <memory>
#include <variant>
#include <vector>

namespace waxwing::relay {

/// A caller sent a request.
struct request_received
{
    /// Number of the request.
    request_id id;
    /// The request.
    std::shared_ptr<const relay_request> request;
    /// How long ago it may have arrived: the loop was held up for that time.
    duration delay{};

    bool operator==(const request_received &) const = default;
};

/// A backend server answered.
struct leaf_answered
{
    /// Number of the attempt.
    attempt_id attempt;
    /// The answer.
    leaf_reply reply;

    bool operator==(const leaf_answered &) const = default;
};

/// A request to a backend server failed.
struct leaf_failed
{
    /// Number of the attempt.
    attempt_id attempt;
    /// Why.
    leaf_failure reason = leaf_failure::NotSent;

    bool operator==(const leaf_failed &) const = default;
};

/// A call to the store ended.
struct store_call_ended
{
    /// The call.
    store_call call;
    /// What it ended with.
    std::variant<store_answer, store_failure> outcome;

    bool operator==(const store_call_ended &) const = default;
};

/// Another host asks for what the store holds. Ends with `answer_peer`.
struct peer_request_received
{
    /// Number of the question.
    request_id id;
    /// What it asks.
    store_call call;

    bool operator==(const peer_request_received &) const = default;
};

/// A host that asked has gone.
struct peer_disconnected
{
    /// Number of the question.
    request_id id;

    bool operator==(const peer_disconnected &) const = default;
};

/// The settings name other hosts to contact first.
struct seeds_changed
{
    /// Their addresses.
    std::vector<endpoint> seeds;

    bool operator==(const seeds_changed &) const = default;
};

/// Anything that happens to a relay host. `tick`, `started`, `stop_requested`, `caller_gone` and
/// `datagram_received` are those of the entry host.
using relay_event_body =
    std::variant<tick, started, stop_requested, request_received, caller_gone, leaf_answered,
                 leaf_failed, store_call_ended, datagram_received, seeds_changed,
                 peer_request_received, peer_disconnected>;

/// Event with its time.
struct relay_event
{
    /// Monotonic time.
    time_point at;
    /// Wall-clock time.
    wall_time wall;
    /// What happened.
    relay_event_body body;
};

} // namespace waxwing::relay
