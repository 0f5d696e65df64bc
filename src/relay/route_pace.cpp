#include "relay/route_pace.h"

#include <algorithm>

namespace waxwing::relay {

route_pace::route_pace(const route &target)
    : work(target.latencyTarget), m_goal(target.latencyTarget), m_targets(target.targets),
      m_credits(target.targets.size())
{ }

void route_pace::configure(const route &target)
{
    m_goal = target.latencyTarget;
    if (target.targets == m_targets)
        return;
    m_targets = target.targets;
    m_credits.assign(m_targets.size(), 0);
}

std::chrono::milliseconds route_pace::waitedBefore(std::chrono::milliseconds timeLeft)
{
    m_firstTryTime = std::max(m_firstTryTime, timeLeft);
    return m_firstTryTime - timeLeft;
}

const service_id &route_pace::nextTarget(const route &target)
{
    // Smooth weighted round robin: random choices would miss the shares by more.
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
