#pragma once

#include "http/client_pool.h"
#include "http/message.h"
#include "http/raw_message.h"
#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/relay_types.h"

#include <optional>
#include <string>
#include <variant>

namespace waxwing::relay {

/// Translates between the messages of an environment and the types of a relay host.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    /// The request of a caller.
    virtual relay_request readRequest(http::raw_request message) const = 0;
    /// The answer to a caller.
    virtual http::response formatAnswer(const relay_answer &answer) const = 0;
    /// The request to a backend server.
    virtual http::call formatLeafCall(const send_to_leaf &action) const = 0;
    /// The answer of a backend server.
    virtual leaf_reply readLeafReply(http::raw_response message) const = 0;
    /// The request to the store at `address`, without a number.
    virtual http::call formatStoreCall(const store_call &call, const endpoint &address) const = 0;
    /// The end of a call to the store.
    virtual std::variant<store_answer, store_failure>
    readStoreOutcome(const store_call &call, const http::client_pool::outcome &outcome) const = 0;
    /// The question of another host, in the form of a call to the store; empty if it is none.
    virtual std::optional<store_call> readStoreCall(const http::raw_request &message) const = 0;
    /// The answer to another host, in the form of an answer of the store.
    virtual http::response
    formatStoreOutcome(const std::variant<store_answer, store_failure> &outcome) const = 0;
    /// Path at which the host tells whether callers may be sent to it.
    virtual std::string readinessPath() const = 0;
};

} // namespace waxwing::relay
