#include "loop/stop_sequence.h"

#include <algorithm>

namespace waxwing {

stop_sequence::stop_sequence(std::chrono::milliseconds notice, std::chrono::milliseconds limit)
    : m_notice(notice), m_limit(limit)
{ }

bool stop_sequence::begin(time_point now)
{
    if (isStopping())
        return false;
    m_step = step_kind::Notice;
    m_stepDeadline = now + m_notice;
    return true;
}

void stop_sequence::advance(reduce_context &context, std::size_t requestsInProgress)
{
    if (m_step == step_kind::Notice && context.now >= m_stepDeadline) {
        m_step = step_kind::Draining;
        m_stepDeadline = context.now + m_limit;
        context.emit(close_callers{});
    }
    if (m_step != step_kind::Draining)
        return;
    if (requestsInProgress != 0)
        m_idleSince.reset();
    else if (!m_idleSince.has_value())
        m_idleSince = context.now;
    if (context.now < *nextDeadline())
        return;
    if (requestsInProgress != 0)
        context.emit(write_log{{log_level::Warning,
                                "stopping with requests in progress",
                                {{"requests", std::to_string(requestsInProgress)}}}});
    m_step = step_kind::Exited;
    context.emit(exit_process{m_stepDeadline});
}

std::optional<time_point> stop_sequence::exitBy() const
{
    if (m_step == step_kind::Running)
        return std::nullopt;
    return m_step == step_kind::Notice ? m_stepDeadline + m_limit : m_stepDeadline;
}

std::optional<time_point> stop_sequence::nextDeadline() const
{
    switch (m_step) {
    case step_kind::Notice:
        return m_stepDeadline;
    case step_kind::Draining:
        return m_idleSince.has_value()
            ? std::min<time_point>(m_stepDeadline, *m_idleSince + idleTime)
            : m_stepDeadline;
    case step_kind::Running:
    case step_kind::Exited:
        break;
    }
    return std::nullopt;
}

} // namespace waxwing
