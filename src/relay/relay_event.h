#pragma once

#include "events/event.h"
#include "relay/relay_types.h"
#include "relay/store_types.h"

#include <memory>
#include <variant>
#include <vector>

namespace waxwing::relay {

/// A request of a caller was received, from the caller or forwarded by another host.
struct request_received
{
    request_id id;
    std::shared_ptr<const relay_request> request;
    /// Time for which the event loop was stalled before it read the request. The request may have
    /// arrived that long ago.
    duration delay{};
    /// Whether the caller opened its connection for this request.
    bool isFirstOnConnection = false;
    /// Host that forwarded the request; empty if it came from the caller.
    std::optional<forwarding_origin> origin{};

    bool operator==(const request_received &) const = default;
};

/// A backend server answered, with success or an error.
struct leaf_answered
{
    attempt_id attempt;
    leaf_reply reply;

    bool operator==(const leaf_answered &) const = default;
};

/// An attempt ended without an answer of the backend server.
struct leaf_failed
{
    attempt_id attempt;
    leaf_failure reason = leaf_failure::NotSent;

    bool operator==(const leaf_failed &) const = default;
};

/// Another host answered a forwarded request, with the answer to the caller or with a refusal.
struct forward_answered
{
    attempt_id attempt;
    leaf_reply reply;
    /// Code of the refusal; empty if the request was answered.
    std::string refusalCode;

    bool operator==(const forward_answered &) const = default;
};

/// A forwarded request ended without an answer of the other host.
struct forward_failed
{
    attempt_id attempt;
    leaf_failure reason = leaf_failure::NotSent;

    bool operator==(const forward_failed &) const = default;
};

/// Another host acknowledged a forwarded request, which it answers later.
struct forward_acknowledged
{
    attempt_id attempt;

    bool operator==(const forward_acknowledged &) const = default;
};

/// A call to the store completed or failed.
struct store_call_ended
{
    store_call call;
    std::variant<store_answer, store_failure> outcome;
    /// Era that the response states; empty if there was no response or it states none.
    std::optional<std::uint64_t> era{};

    bool operator==(const store_call_ended &) const = default;
};

/// Another host sent a store call to this host. Completes with `answer_peer`, unless
/// `peer_disconnected` comes first.
struct peer_request_received
{
    request_id id;
    store_call call;

    bool operator==(const peer_request_received &) const = default;
};

/// A host disconnected before its store call was answered.
struct peer_disconnected
{
    /// Id of the `peer_request_received` event.
    request_id id;

    bool operator==(const peer_disconnected &) const = default;
};

/// The settings were reloaded with new addresses of hosts to contact first.
struct seeds_changed
{
    std::vector<endpoint> seeds;

    bool operator==(const seeds_changed &) const = default;
};

/// Event of a relay host. `tick`, `started`, `stop_requested`, `caller_gone` and
/// `datagram_received` are shared with the entry host.
using relay_event_body =
    std::variant<tick, started, stop_requested, request_received, caller_gone, leaf_answered,
                 leaf_failed, store_call_ended, datagram_received, seeds_changed,
                 peer_request_received, peer_disconnected, forward_answered, forward_failed,
                 forward_acknowledged>;

/// Event with the time at which it is handled.
struct relay_event
{
    /// Monotonic time.
    time_point at;
    /// Wall-clock time.
    wall_time wall;
    relay_event_body body;
};

} // namespace waxwing::relay
