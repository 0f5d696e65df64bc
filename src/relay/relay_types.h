#pragma once

#include "balancing/load_report.h"
#include "core/clock.h"
#include "core/endpoint.h"
#include "core/refusal.h"
#include "core/strong_id.h"
#include "http/message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing::relay {

/// Multiplies a duration, truncating the result to the resolution of the clock.
inline duration scaled(duration whole, double factor)
{
    return std::chrono::duration_cast<duration>(whole * factor);
}

/// Whether an HTTP status tells callers that the request was not run, so that they may resend it.
inline bool isNotRunStatus(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Request of a caller that is forwarded unchanged.
struct relay_request
{
    /// Request id set by the caller; empty if there is none.
    std::string callerId;
    /// Method in upper case.
    std::string method;
    /// Host name that selects the route.
    std::string hostName;
    /// Path and query, percent-encoded.
    std::string target;
    /// Forwarded header fields.
    http::header_list fields;
    std::string body;
    /// API key of the caller; empty if there is none.
    std::string apiKey{};
    /// Remaining time of the caller; empty if it states none.
    std::optional<std::chrono::milliseconds> timeLeft;

    bool operator==(const relay_request &) const = default;
};

/// What the API key of a request says about its caller.
struct caller_identity
{
    /// Whether the routes name organisations. API keys are then not passed to backend servers.
    bool isChecked = false;
    /// Organisation that holds the key; empty if there is none, as on a public route.
    organisation_id organisation;

    bool operator==(const caller_identity &) const = default;
};

/// Host that forwarded a request because it reaches no server for it.
struct forwarding_origin
{
    host_id host;
    /// Version of its routes. A host with older routes does not answer the request.
    std::uint64_t routesVersion = 0;
    /// Number of servers of a shard that the request may still be sent to.
    std::uint32_t attempts = 1;

    bool operator==(const forwarding_origin &) const = default;
};

/// What follows the beginning of an answer that comes in pieces.
struct answer_rest
{
    /// Attempt whose connection it comes on.
    attempt_id attempt;
    /// Length of the whole body, in bytes; empty if it is not known.
    std::optional<std::uint64_t> length;

    bool operator==(const answer_rest &) const = default;
};

/// Answer of a backend server.
struct leaf_reply
{
    /// HTTP status code.
    int status = 200;
    /// Forwarded header fields, including the signature.
    http::header_list fields;
    std::string body;
    /// Signature for verifying the answer; empty if there is none.
    std::string signature;
    /// Whether the server reported that it did not run the request.
    bool notRun = false;
    /// Whether the answer came from another server, which has taken over the address.
    bool otherServer = false;
    /// Whether the server announced that it is about to stop.
    bool leaving = false;
    /// Time for which the server asked to receive no requests; empty if it did not.
    std::optional<std::chrono::milliseconds> pause{};
    /// Requests a second that the server accepts from all hosts together; empty if it named no
    /// limit that could be read.
    std::optional<double> rateLimit{};
    /// Whether the server named a limit that could not be read.
    bool isRateLimitMalformed = false;
    /// Load that the server stated; empty if it stated none that could be read.
    std::optional<load_report> load{};
    /// Whether the server stated a load that could not be read.
    bool isLoadMalformed = false;
    /// Time for which the server is cold; empty if it stated none that could be read.
    std::optional<std::chrono::milliseconds> coldFor{};
    /// Whether the server stated a cold time that could not be read.
    bool isColdTimeMalformed = false;
    /// Set if `body` is only the beginning of the body.
    std::optional<answer_rest> rest{};

    /// Whether the status is 2xx and the request was run.
    bool isSuccess() const { return status >= 200 && status < 300 && !notRun; }

    bool operator==(const leaf_reply &) const = default;
};

/// Why a request to a backend server has no answer.
enum class leaf_failure {
    /// No connection was opened; the server received nothing.
    NotSent,
    /// The deadline passed before the request was written; the server received nothing.
    DeadlinePassed,
    /// A new connection was reset at once, as by a server that has reached its connection limit.
    /// The request may still have run.
    NotAccepted,
    /// The connection was lost; the request may have run.
    ConnectionLost,
    /// The answer could not be parsed; the request may have run.
    Malformed,
};

/// Answer to a fan-out, merged from the answers of the shards.
struct merged_answer
{
    /// One signature per merged part.
    std::vector<std::string> signatures;
    /// Number of shards whose part is missing.
    std::size_t missing = 0;
    /// Greatest records of the parts, in descending order.
    std::string body;

    bool operator==(const merged_answer &) const = default;
};

/// Final answer to a relayed request.
using relay_answer = std::variant<leaf_reply, merged_answer, refusal>;

/// Registration of a backend server.
struct registered_server
{
    /// May stay the same when the server restarts.
    server_id id;
    service_id service;
    /// Receives the requests.
    endpoint address;
    zone_id zone;
    /// Number of requests that the server runs at a time.
    std::uint32_t slots = 1;
    /// Whether the server is about to stop and receives no new requests.
    bool leaving = false;
    /// Time after its start during which the server is still slow.
    std::chrono::milliseconds coldFor{0};
    /// Unix time of the start in milliseconds. Distinguishes a restarted server from its
    /// predecessor.
    std::int64_t startedAt = 0;

    bool operator==(const registered_server &) const = default;
};

} // namespace waxwing::relay
