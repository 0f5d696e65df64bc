#include "coordinators/coordinator_directory.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Upper bound of the time for which a coordinator is not chosen, as a multiple of the first one.
constexpr int longestAvoidance = 8;

} // namespace

std::optional<member>
coordinator_directory::pick(const zone_id &zone, const std::map<zone_id, std::string> &regions,
                            const std::function<bool(const host_id &)> &isExcluded,
                            random_engine &random, time_point now) const
{
    const auto isSkipped = [&](const host_id &host) {
        const auto known = m_avoided.find(host);
        return (known != m_avoided.end() && now < known->second.until) || isExcluded(host);
    };
    return m_current.pick(zone, regions, isSkipped, random);
}

void coordinator_directory::onTaken(const host_id &coordinator)
{
    m_acknowledging.insert(coordinator);
    m_avoided.erase(coordinator);
}

void coordinator_directory::onNotTaken(const host_id &coordinator, time_point now)
{
    const duration first = m_settings.avoidedTime;
    const auto [known, isNew] = m_avoided.try_emplace(coordinator, avoidance{now, first});
    avoidance &entry = known->second;
    // Requests in progress fail for the same reason and do not extend the time.
    if (!isNew && now < entry.until)
        return;
    entry.until = now + entry.next;
    entry.next = std::min(2 * entry.next, longestAvoidance * first);
}

bool coordinator_directory::mayRepeat(time_point now)
{
    if (now < m_nextRepeat)
        return false;
    m_nextRepeat = now + m_repeatInterval;
    return true;
}

} // namespace waxwing
