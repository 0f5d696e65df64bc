#include "balancing/server_observations.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace waxwing {

bool server_observations::add(const server_observations_settings &settings,
                              const reported_slowness &observed, double trialFraction,
                              time_point now)
{
    if (now - observed.sent > settings.maxAge)
        return false;
    std::erase_if(m_latest,
                  [&](const reported_slowness &each) { return now - each.sent > settings.maxAge; });
    const auto known =
        std::find_if(m_latest.begin(), m_latest.end(), [&](const reported_slowness &each) {
            return each.reporter == observed.reporter;
        });
    if (known != m_latest.end()) {
        if (std::tie(observed.incarnation, observed.sequence)
            <= std::tie(known->incarnation, known->sequence))
            return false;
        *known = observed;
    } else {
        if (m_latest.size() >= settings.maxReporters)
            m_latest.erase(
                std::min_element(m_latest.begin(), m_latest.end(),
                                 [](const auto &a, const auto &b) { return a.known < b.known; }));
        m_latest.push_back(observed);
    }
    const std::optional<time_point> before = m_latestSlow;
    evaluate(settings, now);
    if (m_latestSlow.has_value() && m_latestSlow != before) {
        const duration range = settings.maxTrialDelay - settings.minTrialDelay;
        m_trialAt = *m_latestSlow + settings.minTrialDelay
            + std::chrono::duration_cast<duration>(range * trialFraction);
    }
    return true;
}

void server_observations::evaluate(const server_observations_settings &settings, time_point now)
{
    m_latestNormal.reset();
    for (const reported_slowness &each : m_latest) {
        if (each.slowness < settings.slowThreshold)
            m_latestNormal = std::max(m_latestNormal.value_or(each.sent), each.sent);
    }
    const bool wasSlow = verdict(settings, now) == verdict_kind::Slow;
    m_verdict = verdict_kind::Normal;
    m_excess = 0;
    m_slowReporters = 0;
    m_latestSlow.reset();
    m_firstKnown.reset();
    m_latestKnown.reset();
    double highest = 0;
    double second = 0;
    for (const reported_slowness &each : m_latest) {
        if (each.slowness < settings.slowThreshold
            || (m_latestNormal.has_value()
                && *m_latestNormal + settings.arrivalTolerance >= each.known))
            continue;
        ++m_slowReporters;
        m_latestSlow = std::max(m_latestSlow.value_or(each.sent), each.sent);
        m_firstKnown = std::min(m_firstKnown.value_or(each.known), each.known);
        m_latestKnown = std::max(m_latestKnown.value_or(each.known), each.known);
        const double excess = std::min(each.slowness, settings.maxSlowness) - 1;
        second = std::max(second, std::min(excess, highest));
        highest = std::max(highest, excess);
    }
    if (m_slowReporters == 0 || now - *m_latestSlow > settings.maxAge)
        return;
    // The host that learned first is another one than the host of the latest request: each host
    // counts with its latest request, which it sent before anything was known of it.
    // Once confirmed, two hosts that try the server at the same time do not lift it.
    const bool isConfirmed = m_slowReporters > 1 && (wasSlow || *m_latestSlow >= *m_firstKnown);
    m_verdict = isConfirmed ? verdict_kind::Slow : verdict_kind::Suspected;
    m_excess = isConfirmed ? second : highest * settings.singleShare;
}

server_observations::verdict_kind
server_observations::verdict(const server_observations_settings &settings, time_point now) const
{
    return m_latestSlow.has_value() && now - *m_latestSlow <= settings.maxAge
        ? m_verdict
        : verdict_kind::Normal;
}

double server_observations::excess(const server_observations_settings &settings,
                                   time_point now) const
{
    if (m_excess == 0 || now >= m_trialAt)
        return 0;
    const std::chrono::duration<double> age = now - *m_latestSlow;
    const std::chrono::duration<double> halfLife = settings.halfLife;
    return m_excess * std::exp2(-age / halfLife);
}

} // namespace waxwing
