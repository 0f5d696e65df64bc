#pragma once

#include "relay/relay_context.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace waxwing::relay {

/// Ends one request: emits its answer or refusal, metrics and log line, and abandons or cancels its
/// attempts.
///
/// Refusals carry a randomised retry delay. Without it, callers that are refused at the same time
/// would also retry at the same time.
class request_completion
{
public:
    request_completion(const relay_context &context, pending_request &request);

    /// Answers with the parts that are there.
    void answerWithParts();
    /// Answers with what another host answered or refused.
    void answerFromHost(leaf_reply reply, std::string_view refusalCode);
    /// Answers with the server's error, or refuses the request: status 503 if no server has run it,
    /// 504 after the deadline, 502 otherwise.
    void fail();
    /// Refuses the request. Status 503 promises the caller that it was not run.
    void refuse(int status, std::string_view code, std::string_view detail,
                std::chrono::milliseconds retryAfter);
    /// Refuses the request if no zone is allowed to serve it. Returns whether it did.
    bool refuseMisplaced();
    /// Refuses the request, which has not run, since no server can be reached that may receive it.
    void refuseUnavailable(std::string_view detail);
    /// Cancels every attempt after the caller disconnected. No answer is sent.
    void cancel();
    /// Randomised delay after which a refused caller should retry; at least 10 ms.
    std::chrono::milliseconds retryDelay() const;
    /// Adds to the trail in the log line what happened to a part.
    /// The entry names the service, the server and the time since the request arrived.
    void recordIncident(std::size_t index, std::string_view what);
    /// Adds an event that concerns no single part to the trail, with the time since the request
    /// arrived.
    void recordEvent(std::string_view what);
    /// Whether the request has ended and has to be removed.
    bool isEnded() const { return m_ended; }

private:
    void finish(relay_answer answer, std::string_view outcome);
    /// Has the crashes of the request reported to other hosts if it ends without any answer.
    void reportCrashes();
    void abandonAttempts();
    void cancelForward();
    /// Takes all parts out of their queues and hands each attempt that is in progress to `end`.
    template<typename End>
    void endAttempts(End end);
    void logCompletion(std::string_view outcome, const relay_answer &answer) const;

    const relay_context &m_context;
    relay_requests &m_state;
    pending_request &m_request;
    bool m_ended = false;
};

} // namespace waxwing::relay
