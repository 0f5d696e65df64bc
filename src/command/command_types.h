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
    service_id service;
    /// `Idempotency-Key` header of the caller.
    std::string key;
    /// Id of the changed document; determines the shard.
    std::string document;
    /// Operation, such as `enrol`.
    std::string operation;
    /// Payload as JSON text, passed on unchanged.
    std::string payload = "null";
    /// Remaining time when the request arrived; zero uses the deadline of the service's policy.
    std::chrono::milliseconds timeout{0};
    /// Name of the caller, for fair shares; empty if unknown.
    std::string caller;
    trace_context trace;

    bool operator==(const command_request &) const = default;
};

/// Answer to a command that ran.
struct command_answer
{
    service_id service;
    /// Result as JSON text.
    std::string result = "null";
    /// Whether this is the recorded result of an earlier attempt.
    bool replayed = false;

    bool operator==(const command_answer &) const = default;
};

/// Final result of a command for its caller.
using command_outcome = std::variant<command_answer, refusal>;

/// Command as sent to a backend server.
struct leaf_command
{
    service_id service;
    /// Shard of the newest partitioning that holds the document.
    shard_id shard;
    /// Id of the changed document.
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
    enum class method_kind {
        /// Reads the object.
        Get,
        /// Creates the object; fails with `Conflict` if it exists.
        Create,
        /// Replaces the object if it still has `version`; fails with `Conflict` otherwise.
        Update,
        /// Waits until the object has a version above `version`.
        Watch,
        /// Reads the list of hosts.
        ListHosts,
    };

    method_kind method = method_kind::Get;
    /// Kind of the object, such as `claim`.
    std::string kind;
    std::string name;
    /// Expected version for `Update`, last known version for `Watch`.
    std::uint64_t version = 0;
    /// New value for `Create` and `Update`, as JSON text.
    std::string value;
    /// Time after which the call is cancelled.
    std::chrono::milliseconds timeout{1000};

    bool operator==(const platform_call &) const = default;
};

/// Result of a `platform_call`.
struct platform_result
{
    enum class status_kind {
        /// The call succeeded; `version` and `value` are the current ones of the object.
        Done,
        /// The object does not exist.
        NotFound,
        /// The condition does not hold; `version` and `value` are the current ones of the object.
        Conflict,
        /// A watch ended without a change.
        NotModified,
        /// No usable response; the change may have taken effect.
        Unknown,
        /// The platform was unreachable or refused the call; nothing took effect.
        Unavailable,
    };

    status_kind status = status_kind::Unknown;
    std::uint64_t version = 0;
    /// Value of the object as JSON text.
    std::string value;
    /// Explanation for logs.
    std::string detail;

    bool operator==(const platform_result &) const = default;
};

} // namespace waxwing
