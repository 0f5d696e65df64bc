#include "http/hold_up_watch.h"

namespace waxwing::http {

void hold_up_watch::onBeat(time_point now)
{
    const bool isLate = isOverdue(now);
    // Without a beat in time between them two hold-ups are one: what waited for the first may be
    // read after the second.
    if (isLate && !m_wasLate)
        m_since = m_lastBeat + beatInterval;
    m_wasLate = isLate;
    m_lastBeat = now;
}

duration hold_up_watch::delay(time_point now) const
{
    if (m_wasLate && (now < m_lastBeat + lateReads || isOverdue(now)))
        return now - m_since;
    return isOverdue(now) ? now - m_lastBeat - beatInterval : duration(0);
}

} // namespace waxwing::http
