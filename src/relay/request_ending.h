#pragma once

#include "relay/relay_work.h"

#include <chrono>
#include <cstddef>
#include <string_view>

namespace waxwing::relay {

/// Ends one request: gives its answer or refusal, with when to come back and what is written to the
/// log.
///
/// The load pattern that this answers: many requests are refused at one moment. Each caller is told
/// another time to come back, so that they do not return at one moment too.
class request_ending
{
public:
    request_ending(const relay_work &work, running_relay &request);

    /// Answers with the parts that are there.
    void answerMerged();
    /// Answers that the request failed, or that it was not run where that is certain.
    void fail();
    /// Refuses the request. Status 503 says that it was not run.
    void refuse(int status, std::string_view code, std::string_view detail,
                std::chrono::milliseconds retryAfter);
    /// The caller has gone: ends every attempt.
    void cancel();
    /// When a caller that is refused may come back.
    std::chrono::milliseconds retryHint() const;
    /// Adds to the trail in the log line what happened to a part.
    void note(std::size_t index, std::string_view what);
    /// Whether the request has ended and has to be removed.
    bool isEnded() const { return m_ended; }

private:
    void finish(relay_answer answer, std::string_view outcome);
    void abandonAttempts();
    /// Takes all parts out of their queues and hands each attempt that is in progress to `end`.
    template<typename End>
    void endAttempts(End end);
    void logEnd(std::string_view outcome, const relay_answer &answer) const;

    const relay_work &m_work;
    relay_requests &m_state;
    running_relay &m_request;
    bool m_ended = false;
};

} // namespace waxwing::relay
