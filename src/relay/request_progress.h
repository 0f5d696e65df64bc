#pragma once

#include "relay/relay_work.h"
#include "relay/request_ending.h"

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
    request_progress(const relay_work &work, running_relay &request);

    /// Sends every part, or refuses the request.
    void begin();
    /// A server answered a part.
    void onReply(const relay_attempt &attempt, leaf_reply reply);
    /// A request to a server failed.
    void onFailure(const relay_attempt &attempt, leaf_failure reason);
    /// Does what is due: hedges, the end of waiting, the answer at the latency goal, the deadline.
    void onDue();
    /// Sends a waiting part if a server is free now. Returns whether it waits no longer.
    bool sendWaiting(std::size_t index);
    /// The caller has gone: ends every attempt.
    void cancel() { m_ending.cancel(); }

    /// Whether the request was answered and has to be removed.
    bool isAnswered() const { return m_ending.isEnded(); }

private:
    using step_kind = relay_part::step_kind;

    bool mayRepeat() const;
    bool maySendAgain(const relay_part &part) const;
    void sendFirst(std::size_t index);
    void send(std::size_t index, const leaf_choice &choice);
    bool sendExtra(std::size_t index, bool isRetry);
    void retry(std::size_t index, bool costsBudget, std::string_view cause);
    void wait(std::size_t index);
    void extendWait();
    void lose(std::size_t index, std::string_view cause);
    void takePart(std::size_t index, leaf_reply reply);
    void hedgeStragglers();
    void takeFailure(std::size_t index, leaf_reply reply);
    void hedgeDue(std::size_t index);
    /// Whether connections were lost as if the request crashed servers.
    bool looksHarmful() const;
    bool hasAttempts() const;
    duration hedgeDelay(const leaf_choice &choice) const;
    std::chrono::milliseconds timeLeft() const;

    bool isCrowded(const service_id &service) const;
    bool isCovered(std::size_t shards) const;
    void settle();
    void schedule();
    std::optional<time_point> nextDue() const;

    const relay_work &m_work;
    relay_requests &m_state;
    running_relay &m_request;
    request_ending m_ending;
};

} // namespace waxwing::relay
