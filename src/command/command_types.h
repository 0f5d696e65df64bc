#pragma once

#include "core/refusal.h"
#include "core/strong_id.h"
#include "core/trace_context.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace waxwing {

/// Non-idempotent request as a caller sends it.
struct command_request
{
    /// Service that runs it.
    service_id service;
    /// `Idempotency-Key` of the caller.
    std::string key;
    /// Document that it changes; decides the shard.
    std::string document;
    /// Operation, such as `enrol`.
    std::string operation;
    /// Payload as JSON text, passed on as it is.
    std::string payload = "null";
    /// Time left when the request arrived; zero for "as the policy of the service says".
    std::chrono::milliseconds timeout{0};
    /// Who asks, for fair shares; empty if unknown.
    std::string caller;
    /// Trace of the caller.
    trace_context trace;

    bool operator==(const command_request &) const = default;
};

/// Answer to a command that ran.
struct command_answer
{
    /// Service that ran it.
    service_id service;
    /// Result as JSON text.
    std::string result = "null";
    /// Whether this is the recorded result of an earlier try.
    bool replayed = false;

    bool operator==(const command_answer &) const = default;
};

/// What a command ends with.
using command_outcome = std::variant<command_answer, refusal>;

/// Command as sent to a backend server.
struct leaf_command
{
    /// Service that runs it.
    service_id service;
    /// Shard of the document.
    shard_id shard;
    /// Document that it changes.
    std::string document;
    /// Operation, such as `enrol`.
    std::string operation;
    /// Payload as JSON text.
    std::string payload = "null";

    bool operator==(const leaf_command &) const = default;
};

/// Reply of a backend server that ran a command.
struct leaf_command_answer
{
    /// Result as JSON text.
    std::string result = "null";

    bool operator==(const leaf_command_answer &) const = default;
};

/// Conditional call to the platform's object API.
struct platform_call
{
    /// What is done with the object.
    enum class method_kind {
        /// Reads the object.
        Get,
        /// Creates the object; fails with `Conflict` if it is there.
        Create,
        /// Replaces the object if it still has `version`.
        Update,
        /// Waits until the object has a version above `version`.
        Watch,
        /// Reads the list of hosts.
        ListHosts,
    };

    /// What is done.
    method_kind method = method_kind::Get;
    /// Kind of the object, such as `claim`.
    std::string kind;
    /// Name of the object.
    std::string name;
    /// Version that an update or a watch refers to.
    std::uint64_t version = 0;
    /// New value as JSON text.
    std::string value;
    /// Time after which the call is given up.
    std::chrono::milliseconds timeout{1000};

    bool operator==(const platform_call &) const = default;
};

/// What a `platform_call` ended with.
struct platform_result
{
    /// Kind of result.
    enum class status_kind {
        /// Done; `version` and `value` are those of the object now.
        Done,
        /// The object does not exist.
        NotFound,
        /// The condition does not hold; `version` and `value` are those of the object now.
        Conflict,
        /// A watch ended without a change.
        NotModified,
        /// No usable answer; the change may have taken effect.
        Unknown,
        /// The platform could not be reached or refused; nothing took effect.
        Unavailable,
    };

    /// Kind of result.
    status_kind status = status_kind::Unknown;
    /// Version of the object.
    std::uint64_t version = 0;
    /// Value of the object as JSON text.
    std::string value;
    /// Explanation for logs.
    std::string detail;

    bool operator==(const platform_result &) const = default;
};

} // namespace waxwing
