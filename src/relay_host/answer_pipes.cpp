#include "relay_host/answer_pipes.h"

namespace waxwing::relay {

void answer_pipes::open(request_id request, const http::response &start, attempt_id attempt,
                        std::optional<std::uint64_t> length)
{
    if (!m_callers->beginResponse(request, start, length))
        return;
    m_metrics.count("relay_answers_in_pieces_total");
    m_requests.emplace(attempt.value, request);
    m_attempts.emplace(request.value, attempt);
    onBody(attempt, start.body);
}

void answer_pipes::onBody(attempt_id attempt, const std::string &bytes)
{
    const auto found = m_requests.find(attempt.value);
    if (found != m_requests.end() && !m_callers->continueResponse(found->second, bytes))
        m_servers.pause(attempt);
}

void answer_pipes::onServerEnd(attempt_id attempt, std::optional<http::call_failure> failure)
{
    const auto found = m_requests.find(attempt.value);
    if (found == m_requests.end())
        return;
    const request_id request = found->second;
    close(attempt, request);
    if (failure.has_value())
        m_metrics.count("relay_answers_in_pieces_lost_total");
    m_callers->endResponse(request, !failure.has_value());
}

void answer_pipes::onTaken(request_id request)
{
    if (const auto found = m_attempts.find(request.value); found != m_attempts.end())
        m_servers.resume(found->second);
}

void answer_pipes::onCallerGone(request_id request)
{
    const auto found = m_attempts.find(request.value);
    if (found == m_attempts.end())
        return;
    const attempt_id attempt = found->second;
    close(attempt, request);
    m_servers.cancel(attempt);
}

void answer_pipes::close(attempt_id attempt, request_id request)
{
    m_requests.erase(attempt.value);
    m_attempts.erase(request.value);
}

} // namespace waxwing::relay
