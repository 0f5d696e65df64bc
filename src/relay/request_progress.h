#pragma once

#include "relay/relay_context.h"
#include "relay/request_completion.h"
#include "relay/request_forwarding.h"

#include <string_view>

namespace waxwing::relay {

/// Sends, hedges and retries the parts of one request and decides when the request ends.
///
/// In a large share of fan-outs, at least one server pauses, fails or does not answer. Each part
/// may therefore be sent to a second server, within a budget. A request that can no longer be
/// answered is refused at once.
class request_progress
{
public:
    request_progress(const relay_context &context, pending_request &request);

    /// Forwards the request, sends every part, or refuses the request.
    void begin();
    /// Handles a server's reply to a part. Ignored if the part is already answered or failed.
    void onReply(const relay_attempt &attempt, leaf_reply reply);
    /// Handles an attempt without a reply. Ignored if the part is already answered or failed.
    void onFailure(const relay_attempt &attempt, leaf_failure reason);
    /// Handles the answer or refusal of a host that the request was forwarded to.
    void onForwardAnswer(leaf_reply reply, std::string_view refusalCode);
    /// Handles the lack of an answer of that host.
    void onForwardFailure(leaf_failure reason);
    /// Records that the host that the request was forwarded to works on it.
    void onForwardAcknowledged() { m_forwarding.onAcknowledged(); }
    /// Handles hedges and retries, queue timeouts, the partial answer and the deadline when due.
    void onTimer();
    /// Ends the request at `latest` if its deadline is later.
    void limitDeadline(time_point latest);
    /// Sends a queued part if a server is free. Returns whether the part has left the queue.
    bool trySendWaiting(std::size_t index);
    /// Cancels every attempt after the caller disconnected.
    void cancel() { m_completion.cancel(); }

    /// Whether the request has ended and must be removed from `relay_requests`.
    bool isEnded() const { return m_completion.isEnded(); }

private:
    using step_kind = relay_part::step_kind;

    bool isIdempotent() const;
    bool hasAttemptsLeft(const relay_part &part) const;
    /// Chooses a server for the part that was not tried before.
    leaf_choice choose(const relay_part &part) const;
    /// Fails the part if no server of its service is usable.
    void sendOrEnqueue(std::size_t index);
    void send(std::size_t index, const leaf_choice &choice);
    /// Sends a hedge or retry to another server, if one is free and the budget allows it. Returns
    /// whether it was sent.
    bool sendExtra(std::size_t index, extra_request_kind kind);
    /// Whether the request cannot be answered in time without a hedge of the part now.
    /// `expected` is the expected time until its answer.
    bool isHedgeNeeded(std::size_t index, duration expected) const;
    /// Kind of the next retry of the part.
    extra_request_kind retryKind(std::size_t index) const;
    /// Retries the part, defers the retry if none is possible yet, or fails the part. Sends nothing
    /// while another attempt of the part is in progress. `cause` goes to the log field `trail`.
    void retry(std::size_t index, bool costsBudget, std::string_view cause);
    /// Schedules a retry of the part to any of its servers, or fails it if the time for retries is
    /// over.
    void defer(std::size_t index);
    /// Tries each deferred part a last time if the request can be answered and waits for no other
    /// part.
    void finishDeferredParts();
    /// When deferred parts fail.
    time_point retryDeadline() const;
    void enqueue(std::size_t index);
    /// Lets queued parts wait for longer, because the work of the parts already sent would be lost.
    void extendQueueTime();
    void failPart(std::size_t index, std::string_view cause);
    void acceptReply(std::size_t index, leaf_reply reply);
    void handleErrorReply(std::size_t index, leaf_reply reply);
    void onHedgeTimer(std::size_t index);
    /// Whether so many connections were lost before any reply that the request may crash servers.
    bool isSuspectedOfCrashes() const;
    bool hasAttempts() const;
    duration hedgeDelay(const leaf_choice &choice) const;

    /// Whether this host reaches too few servers to answer the request.
    bool isWithoutServers() const;
    /// Forwards the request if this host reaches too few servers for it, or if another host was
    /// asked in vain. Returns whether it did.
    bool tryForward();
    /// Forwards the request in place of sending its parts.
    bool beginForwarded();
    /// Sends every part to a server of this host, or refuses the request.
    void beginHere();
    /// Sends the parts from here, or asks another host if this one reaches too few servers.
    void beginOwn();
    /// Asks the next coordinator after one that did not take the request, or carries it out here.
    void resumeDelegated();
    /// Forwards the request to the next host after one that could not help. If there is none, sends
    /// the parts from here if that may help.
    void tryNextHost();

    /// Whether too many parts are queued for the service for another one to be served in time.
    bool isOverloaded(const service_id &service) const;
    /// Whether the parts of `shards` shards are enough for an answer.
    bool isCoverageSufficient(std::size_t shards) const;
    /// Ends the request if its outcome is certain; otherwise schedules its next timer.
    void endOrReschedule();
    void scheduleTimer();
    std::optional<time_point> nextTimer() const;

    const relay_context &m_context;
    relay_requests &m_state;
    pending_request &m_request;
    request_completion m_completion;
    request_forwarding m_forwarding;
};

} // namespace waxwing::relay
