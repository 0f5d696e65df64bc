#include "placement/returning_zones.h"

#include <algorithm>

namespace waxwing {

std::map<zone_id, double> returning_zones::advance(time_point now)
{
    std::erase_if(m_since, [now](const auto &each) { return now - each.second >= returnTime; });
    std::map<zone_id, double> shares;
    m_nextStep.reset();
    for (const auto &[zone, since] : m_since) {
        const auto steps = (now - since) / stepTime;
        shares[zone] =
            static_cast<double>(steps + 1) / static_cast<double>(returnTime / stepTime + 1);
        const time_point next = since + (steps + 1) * stepTime;
        m_nextStep = std::min(m_nextStep.value_or(next), next);
    }
    return shares;
}

} // namespace waxwing
