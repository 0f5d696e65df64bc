#include "loop/loop_clock.h"

#include <chrono>

namespace waxwing {
namespace {

/// Time that the callbacks of a pass may take before the next pass polls only. The limit saves a
/// system call in each of the usual passes, which are much shorter.
constexpr std::chrono::milliseconds maxShortPass{10};

} // namespace

time_point loop_clock::now() const
{
    const time_point now = m_time.now();
    if (m_hasPasses && !m_awakeSince.has_value())
        m_awakeSince = now;
    return now;
}

void loop_clock::beginPass()
{
    m_lastPassTime = m_awakeSince.has_value() ? m_time.now() - *m_awakeSince : duration(0);
    m_unreadSince.reset();
    if (m_lastPassTime > maxShortPass)
        m_unreadSince = m_awakeSince;
    m_awakeSince.reset();
    m_hasPasses = true;
}

duration loop_clock::longestWait(time_point now) const
{
    if (m_unreadSince.has_value())
        return now - *m_unreadSince;
    return m_awakeSince.has_value() ? now - *m_awakeSince : duration(0);
}

} // namespace waxwing
