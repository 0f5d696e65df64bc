#pragma once

#include "relay/leaf_pool.h"
#include "relay/relay_types.h"
#include "relay/route_document.h"
#include "relay/route_pace.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing::relay {

/// Part of a request that one service answers. A request that is not a fan-out has one part.
struct relay_part
{
    /// What happens to the part.
    enum class step_kind {
        /// No server may get it now; it waits for one.
        Waiting,
        /// Sent, or about to be sent again.
        InProgress,
        /// Has its reply.
        Answered,
        /// No server is left that could answer.
        Failed,
    };

    /// Service.
    service_id service;
    /// What happens.
    step_kind step = step_kind::InProgress;
    /// Attempts that have not ended.
    std::vector<attempt_id> attempts;
    /// Servers that got an attempt.
    leaf_pool::leaf_list triedServers;
    /// Attempts that may have run on a server.
    std::uint32_t runs = 0;
    /// When the latest attempt is expected to be answered.
    time_point replyExpectedAt{};
    /// When another server is asked; empty if none may be.
    std::optional<time_point> hedgeAt;
    /// The reply, if it is answered.
    leaf_reply reply;
};

/// Relayed request that is not answered yet.
struct pending_request
{
    /// Number.
    request_id id;
    /// The request.
    std::shared_ptr<const relay_request> request;
    /// Document that it started with.
    std::shared_ptr<const route_document> document;
    /// Route in `document`.
    const route *target = nullptr;
    /// Measured times of the route.
    std::shared_ptr<route_pace> statistics;
    /// Identity for the quarantine.
    std::uint64_t fingerprint = 0;
    /// When it arrived.
    time_point arrived;
    /// When it is answered at the latest.
    time_point deadline;
    /// When a fan-out is answered without the parts that are missing.
    time_point partialAnswerAt;
    /// When parts that wait for a server are given up.
    time_point queueDeadline;
    /// Parts.
    std::vector<relay_part> parts;
    /// Parts that are answered.
    std::size_t answeredParts = 0;
    /// Parts that are lost.
    std::size_t failedParts = 0;
    /// Connections that were lost with a part of the request.
    std::size_t lostConnections = 0;
    /// Whether a server may have run a part of it.
    bool mayHaveRun = false;
    /// Attempts after the first of each part.
    std::uint32_t extraAttempts = 0;
    /// Last failure that a server answered with.
    std::optional<leaf_reply> failure;
    /// What did not go as usual, for the log.
    std::string incidents;
    /// Time of its latest entry in the timers.
    std::optional<time_point> timerAt;
};

/// Request to a backend server that has not ended.
struct relay_attempt
{
    /// The request that it belongs to; empty once that was answered without it.
    std::optional<request_id> request;
    /// Part of the request.
    std::size_t part = 0;
    /// Server.
    std::shared_ptr<leaf> server;
    /// When it was sent.
    time_point sent;
    /// Measured times of the route.
    std::shared_ptr<route_pace> statistics;
    /// Identity of the request for the quarantine.
    std::uint64_t fingerprint = 0;
};

} // namespace waxwing::relay
