#include "relay/settled_number.h"

#include <algorithm>

namespace waxwing::relay {

void settled_number::update(std::size_t current, time_point now)
{
    if (current == m_current)
        return;
    if (!m_firstChange.has_value())
        m_firstChange = now;
    m_current = current;
    m_lastChange = now;
}

std::optional<std::size_t> settled_number::takeSettled(time_point now)
{
    const auto due = nextDeadline();
    if (!due.has_value() || now < *due)
        return std::nullopt;
    m_firstChange.reset();
    if (m_current == m_reported)
        return std::nullopt;
    m_reported = m_current;
    return m_reported;
}

std::optional<time_point> settled_number::nextDeadline() const
{
    if (!m_firstChange.has_value())
        return std::nullopt;
    return std::min(m_lastChange + m_settings.quietTime, *m_firstChange + m_settings.longestWait);
}

} // namespace waxwing::relay
