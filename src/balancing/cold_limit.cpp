#include "balancing/cold_limit.h"

namespace waxwing {

void cold_limit::configure(const cold_rate &rate, std::size_t hosts, double phase, time_point now)
{
    const bool isNew = !m_share.has_value();
    m_rate = rate;
    m_hosts = hosts;
    m_phase = phase;
    if (!(rate.perSecond > 0))
        m_share.reset();
    else if (isNew)
        startTurns(now);
    else
        m_share->update(usedShare * rate.perSecond, hosts, now);
}

void cold_limit::startTurns(time_point now)
{
    rate_limit_share_settings settings;
    settings.turnValidity = turnValidity;
    m_share.emplace(settings, usedShare * m_rate.perSecond, m_hosts, m_phase, now);
}

void cold_limit::onStated(duration coldFor, time_point now)
{
    m_suspectedUntil = {};
    m_statedUntil = now + coldFor;
}

void cold_limit::onSuspected(time_point now)
{
    m_suspectedAt = now;
    m_suspectedUntil = now + m_rate.warmUp;
}

void cold_limit::onAnswerWithoutStatement(time_point sent)
{
    if (sent >= m_suspectedAt)
        m_suspectedUntil = {};
}

} // namespace waxwing
