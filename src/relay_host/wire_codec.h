#pragma once

#include "http/client_pool.h"
#include "http/message.h"
#include "http/raw_message.h"
#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/relay_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace waxwing::relay {

/// Request that another host forwarded.
struct forwarded_request
{
    relay_request request;
    forwarding_origin origin;
};

/// Converts between the HTTP messages of a deployment environment and the types of a relay host.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    /// Parses the request of a caller.
    virtual relay_request readRequest(http::raw_request message) const = 0;
    /// Formats the answer to a caller.
    virtual http::response formatAnswer(const relay_answer &answer) const = 0;
    /// Formats the request to a backend server.
    virtual http::call formatLeafCall(const send_to_leaf &action) const = 0;
    /// Parses the answer of a backend server.
    virtual leaf_reply readLeafReply(http::raw_response message) const = 0;
    /// Formats a request that is forwarded to another host.
    virtual http::call formatForwardedRequest(const forward_request &action) const = 0;
    /// Parses a request of another host; empty if it is not one of a caller that was forwarded.
    virtual std::optional<forwarded_request>
    readForwardedRequest(const http::raw_request &message) const = 0;
    /// Formats the answer to a forwarded request.
    virtual http::response formatForwardedAnswer(const relay_answer &answer) const = 0;
    /// Parses the answer to a forwarded request.
    virtual forward_answered readForwardedAnswer(attempt_id attempt,
                                                 http::raw_response message) const = 0;
    /// Id that another host gave its request; empty if there is none.
    virtual std::string readCallId(const http::raw_request &message) const = 0;
    /// Adds the id of the request to the answer to another host, which thereby recognises a late
    /// second copy of an earlier answer. An answer that has an id keeps it.
    virtual void addCallId(http::response &answer, const std::string &id) const = 0;
    /// Formats the request to the store at `address`, or to a host that answers in its place. The
    /// id is left empty; the client assigns it, and states it in `echoField` if that is set.
    virtual http::call formatStoreCall(const store_call &call, const endpoint &address) const = 0;
    /// Parses the outcome of a call to the store.
    virtual std::variant<store_answer, store_failure>
    readStoreOutcome(const store_call &call, const http::client_pool::outcome &outcome) const = 0;
    /// Parses the era that a response states; empty if there is none or it is malformed.
    virtual std::optional<std::uint64_t>
    readStoreEra(const http::client_pool::outcome &outcome) const = 0;
    /// Parses a request of another host, which has the format of a call to the store. Empty if the
    /// request is malformed.
    virtual std::optional<store_call> readStoreCall(const http::raw_request &message) const = 0;
    /// Formats the answer to another host in the format of an answer of the store in `era`.
    virtual http::response
    formatStoreOutcome(const std::variant<store_answer, store_failure> &outcome,
                       std::uint64_t era) const = 0;
    /// Path of the readiness probe, which reports whether the host accepts callers.
    virtual std::string readinessPath() const = 0;
};

} // namespace waxwing::relay
