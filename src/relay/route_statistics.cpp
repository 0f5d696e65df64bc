#include "relay/route_statistics.h"

#include <algorithm>

namespace waxwing::relay {

route_statistics::route_statistics(const route &target)
    : work(target.latencyTarget), m_goal(target.latencyTarget), m_targets(target.targets),
      m_credits(target.targets.size())
{ }

void route_statistics::configure(const route &target)
{
    m_goal = target.latencyTarget;
    if (target.targets == m_targets)
        return;
    m_targets = target.targets;
    m_credits.assign(m_targets.size(), 0);
}

std::chrono::milliseconds route_statistics::timeSinceFirstTry(std::chrono::milliseconds timeLeft)
{
    m_firstTryTimeLeft = std::max(m_firstTryTimeLeft, timeLeft);
    return m_firstTryTimeLeft - timeLeft;
}

const service_id &route_statistics::nextTarget(const route &target)
{
    // Smooth weighted round robin. Random choices would deviate more from the weights.
    double total = 0;
    std::size_t chosen = 0;
    m_credits.resize(target.targets.size());
    for (std::size_t i = 0; i < target.targets.size(); ++i) {
        m_credits[i] += target.targets[i].weight;
        total += target.targets[i].weight;
        if (m_credits[i] > m_credits[chosen])
            chosen = i;
    }
    m_credits[chosen] -= total;
    return target.targets[chosen].service;
}

} // namespace waxwing::relay
