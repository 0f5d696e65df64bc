#pragma once

#include "relay/relay_context.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace waxwing::relay {

/// Ends one request: gives its answer or refusal, with when to come back and what is written to the
/// log.
///
/// The load pattern that this answers: many requests are refused at one moment. Each caller is told
/// another time to come back, so that they do not return at one moment too.
class request_completion
{
public:
    request_completion(const relay_context &context, pending_request &request);

    /// Answers with the parts that are there.
    void answerWithParts();
    /// Answers that the request failed, or that it was not run where that is certain.
    void fail();
    /// Refuses the request. Status 503 says that it was not run.
    void refuse(int status, std::string_view code, std::string_view detail,
                std::chrono::milliseconds retryAfter);
    /// The caller has gone: ends every attempt.
    void cancel();
    /// When a caller that is refused may come back.
    std::chrono::milliseconds retryDelay() const;
    /// Adds to the trail in the log line what happened to a part.
    void recordIncident(std::size_t index, std::string_view what);
    /// Whether the request has ended and has to be removed.
    bool isEnded() const { return m_ended; }

private:
    void finish(relay_answer answer, std::string_view outcome);
    void abandonAttempts();
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
