#pragma once

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

/// A time multiplied by a factor.
inline duration scaled(duration whole, double factor)
{
    return std::chrono::duration_cast<duration>(whole * factor);
}

/// Whether callers take an answer with the status as "not run".
inline bool isNotRunStatus(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Request of a caller that is passed on as it is.
struct relay_request
{
    /// Id that the caller chose; empty if it chose none.
    std::string callerId;
    /// Method in upper case.
    std::string method;
    /// Host name that selects the route.
    std::string hostName;
    /// Path and query, not decoded.
    std::string target;
    /// Header fields that are passed on.
    http::header_list fields;
    /// Body.
    std::string body;
    /// Time that the caller waits; empty if it does not say.
    std::optional<std::chrono::milliseconds> timeLeft;

    bool operator==(const relay_request &) const = default;
};

/// Answer of a backend server.
struct leaf_reply
{
    /// HTTP status.
    int status = 200;
    /// Header fields that are passed on, the signature included.
    http::header_list fields;
    /// Body.
    std::string body;
    /// Signature by which the answer can be checked; empty if there is none.
    std::string signature;
    /// Whether the server says that it did not run the request.
    bool notRun = false;
    /// Whether another server has the address now.
    bool otherServer = false;

    /// Whether the answer is a success.
    bool isSuccess() const { return status >= 200 && status < 300 && !notRun; }

    bool operator==(const leaf_reply &) const = default;
};

/// Why a request to a backend server has no answer.
enum class leaf_failure {
    /// No connection was opened; the server received nothing.
    NotSent,
    /// A new connection was reset at once, as by a server that has no room for further connections;
    /// the request may have run all the same.
    NotAccepted,
    /// The connection ended; the request may have run.
    ConnectionLost,
    /// The answer cannot be read; the request may have run.
    Malformed,
};

/// Answer to a fan-out.
struct merged_answer
{
    /// Signatures of the parts.
    std::vector<std::string> signatures;
    /// Shards without a part.
    std::size_t missing = 0;
    /// Greatest records of the parts, in falling order.
    std::string body;

    bool operator==(const merged_answer &) const = default;
};

/// Final answer to a relayed request.
using relay_answer = std::variant<leaf_reply, merged_answer, refusal>;

/// Backend server as it registered itself.
struct registered_server
{
    /// Id; a server that starts again may keep it.
    server_id id;
    /// Service that it serves.
    service_id service;
    /// Address for requests.
    endpoint address;
    /// Availability zone.
    zone_id zone;
    /// Requests that it runs at a time.
    std::uint32_t slots = 1;
    /// Whether it is about to stop and gets no new work.
    bool leaving = false;
    /// Time that it is still slow after its start.
    std::chrono::milliseconds coldFor{0};
    /// Unix time of its start, in milliseconds; tells a restarted server from the one before.
    std::int64_t startedAt = 0;

    bool operator==(const registered_server &) const = default;
};

} // namespace waxwing::relay
