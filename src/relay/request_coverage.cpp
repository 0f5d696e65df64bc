#include "relay/request_coverage.h"

#include "relay/pending_request.h"

#include <algorithm>

namespace waxwing::relay {
namespace {

/// Whether the part has failed, waits for a retry, or its latest attempt is overdue.
bool isAtRisk(const relay_part &part, time_point now)
{
    switch (part.step) {
    case relay_part::step_kind::Waiting:
    case relay_part::step_kind::Answered:
        return false;
    case relay_part::step_kind::InProgress:
        return part.attempts.empty() || now >= part.replyExpectedAt;
    case relay_part::step_kind::Deferred:
    case relay_part::step_kind::Failed:
        break;
    }
    return true;
}

} // namespace

bool request_coverage::isSufficient(std::size_t shards) const
{
    if (shards == 0)
        return false;
    // Without the tolerance, a coverage such as 0.9 of 10 shards could fail because of rounding.
    constexpr double tolerance = 1e-9;
    const double least = m_request.target->isFanOut() ? m_request.target->minCoverage : 1;
    return static_cast<double>(shards) + tolerance
        >= least * static_cast<double>(m_request.parts.size());
}

bool request_coverage::needsHedge(std::size_t index, duration expected, duration recheckInterval,
                                  time_point now) const
{
    if (!m_request.target->isFanOut()
        || now + expected + recheckInterval < m_request.partialAnswerAt
        || !isAtRisk(m_request.parts[index], now))
        return false;
    const auto atRisk =
        std::count_if(m_request.parts.begin(), m_request.parts.end(),
                      [now](const relay_part &part) { return isAtRisk(part, now); });
    return !isSufficient(m_request.parts.size() - static_cast<std::size_t>(atRisk));
}

} // namespace waxwing::relay
