#pragma once

#include "relay/leaf_pool.h"
#include "relay/relay_types.h"
#include "relay/route_document.h"
#include "relay/route_statistics.h"

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
    enum class step_kind {
        /// Queued, because all servers of the service are at their limits.
        Waiting,
        /// Sent, or scheduled for a retry.
        InProgress,
        /// Failed at a server. Tried again while other parts are in progress, because no other
        /// server or no budget was available at once.
        Deferred,
        /// `reply` is set.
        Answered,
        /// No attempt is left that could succeed.
        Failed,
    };

    service_id service;
    step_kind step = step_kind::InProgress;
    /// Attempts that have not ended.
    std::vector<attempt_id> attempts;
    /// Servers that an attempt was sent to, in order.
    leaf_pool::leaf_list triedServers;
    /// Attempts that may have run on a server.
    std::uint32_t runs = 0;
    /// When the reply to the latest attempt is expected.
    time_point replyExpectedAt{};
    /// When a hedge or retry is sent to a server; empty if none is scheduled.
    std::optional<time_point> hedgeAt;
    /// Set in step `Answered`.
    leaf_reply reply;
};

/// Request that was forwarded to another host and is not answered yet.
struct forward_in_progress
{
    attempt_id attempt;
    host_id host;
    /// From when on the answer is late, and the host is not asked again for a while.
    time_point lateAt;
    /// Whether the answer is late.
    bool isLate = false;
    /// Whether the other host was asked as a coordinator, although this one reaches servers.
    bool isDelegated = false;
};

/// State of a relayed request that is not answered yet.
struct pending_request
{
    request_id id;
    std::shared_ptr<const relay_request> request;
    /// Routes in force when the request was received.
    std::shared_ptr<const route_document> document;
    /// Route in `document`, which owns it.
    const route *target = nullptr;
    /// Organisation of the caller in `document`, which owns it; null if there is none.
    const organisation *customer = nullptr;
    /// Latencies measured on the route.
    std::shared_ptr<route_statistics> statistics;
    /// Identifies the request in the quarantine.
    std::uint64_t fingerprint = 0;
    /// When the event loop read the request.
    time_point arrived;
    /// Time for which the request may have waited before it was read.
    duration readDelay{};
    /// When it is answered at the latest.
    time_point deadline;
    /// From this time on, a fan-out is answered without its missing parts if the answered ones are
    /// enough.
    time_point partialAnswerAt;
    /// When parts that are still queued for a server fail.
    time_point queueDeadline;
    std::vector<relay_part> parts;
    /// Number of parts in step `Answered`.
    std::size_t answeredParts = 0;
    /// Number of parts in step `Failed`.
    std::size_t failedParts = 0;
    /// Number of parts in step `Deferred`.
    std::size_t deferredParts = 0;
    /// Lost connections after which a part of a fan-out was scheduled for a retry.
    std::size_t lostConnections = 0;
    /// Whether the connection of any attempt was lost.
    bool hasLostConnection = false;
    /// Whether a server may have run a part of it.
    bool mayHaveRun = false;
    /// Hedges and retries that count against the budget.
    std::uint32_t extraAttempts = 0;
    /// Host that forwarded the request; empty if it came from the caller. Such a request is not
    /// forwarded again.
    std::optional<forwarding_origin> origin;
    /// Number of servers of a shard that the request may be sent to, by this host and the one that
    /// it is forwarded to together.
    std::uint32_t maxAttempts = 1;
    /// Set while another host works on the request.
    std::optional<forward_in_progress> forward;
    /// Hosts that the request was forwarded to, in order.
    std::vector<host_id> triedHosts;
    /// Coordinators that the request was delegated to, in order.
    std::vector<host_id> triedCoordinators;
    /// Whether this host carries the request out although it was delegated.
    bool isOwn = false;
    /// Whether a host that did not answer may have passed the request on to a server.
    bool mayHaveRunElsewhere = false;
    /// Whether servers were sent copies, which may run although no answer of theirs is used.
    bool wasCopied = false;
    /// When it is checked next whether this host reaches servers.
    time_point contactCheckAt;
    /// Last failure that a server answered with.
    std::optional<leaf_reply> failure;
    /// Failures, hedges and retries; logged in the field `trail`.
    std::string incidents;
    /// Time of the valid entry in `relay_requests::timers`.
    std::optional<time_point> timerAt;

    /// The caller, as servers and other hosts are told.
    caller_identity caller() const
    {
        return {!document->organisations().isEmpty(),
                customer == nullptr ? organisation_id{} : customer->id};
    }
};

/// Request to a backend server that has not ended.
struct relay_attempt
{
    /// The request that it belongs to; empty once that was answered without it.
    std::optional<request_id> request;
    /// Index of the part in the request.
    std::size_t part = 0;
    std::shared_ptr<leaf> server;
    time_point sent;
    /// Latencies measured on the route.
    std::shared_ptr<route_statistics> statistics;
    /// Identity of the request for the quarantine.
    std::uint64_t fingerprint = 0;
};

} // namespace waxwing::relay
