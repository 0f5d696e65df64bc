#pragma once

#include "relay/relay_context.h"
#include "relay/request_completion.h"

#include <string_view>

namespace waxwing::relay {

/// Moves one request forward: sends its parts, hedges and retries them, and decides when it ends.
///
/// The load pattern that this answers: one of the servers of a fan-out pauses, fails or is silent
/// in a good part of all requests, so each part may be asked of a second server within a budget;
/// a request that cannot be answered any more is refused at once.
class request_progress
{
public:
    request_progress(const relay_context &context, pending_request &request);

    /// Sends every part, or refuses the request.
    void begin();
    /// A server answered a part.
    void onReply(const relay_attempt &attempt, leaf_reply reply);
    /// A request to a server failed.
    void onFailure(const relay_attempt &attempt, leaf_failure reason);
    /// Does what is due: hedges, the end of waiting, the answer at the latency goal, the deadline.
    void onTimer();
    /// Sends a waiting part if a server is free now. Returns whether it waits no longer.
    bool trySendWaiting(std::size_t index);
    /// The caller has gone: ends every attempt.
    void cancel() { m_completion.cancel(); }

    /// Whether the request was answered and has to be removed.
    bool isEnded() const { return m_completion.isEnded(); }

private:
    using step_kind = relay_part::step_kind;

    bool isIdempotent() const;
    bool hasAttemptsLeft(const relay_part &part) const;
    void sendOrEnqueue(std::size_t index);
    void send(std::size_t index, const leaf_choice &choice);
    bool sendExtra(std::size_t index, bool isRetry);
    void retry(std::size_t index, bool costsBudget, std::string_view cause);
    void enqueue(std::size_t index);
    void extendQueueTime();
    void failPart(std::size_t index, std::string_view cause);
    void acceptReply(std::size_t index, leaf_reply reply);
    void hedgeSlowParts();
    void handleErrorReply(std::size_t index, leaf_reply reply);
    void onHedgeTimer(std::size_t index);
    /// Whether connections were lost as if the request crashed servers.
    bool isSuspectedOfCrashes() const;
    bool hasAttempts() const;
    duration hedgeDelay(const leaf_choice &choice) const;
    std::chrono::milliseconds timeLeft() const;

    bool isOverloaded(const service_id &service) const;
    bool isCoverageSufficient(std::size_t shards) const;
    void endOrReschedule();
    void scheduleTimer();
    std::optional<time_point> nextTimer() const;

    const relay_context &m_context;
    relay_requests &m_state;
    pending_request &m_request;
    request_completion m_completion;
};

} // namespace waxwing::relay
