#include "relay/leaf.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace waxwing::relay {

leaf::leaf(const leaf_settings &settings, registered_server entry, time_point now)
    : m_settings(settings), m_entry(std::move(entry)),
      m_limit(settings.requestsPerSlot * m_entry.slots, now, settings.limitRamp), m_slownessAt(now),
      m_errorsAt(now), m_coldUntil(now + m_entry.coldFor), m_backoffUntil(now),
      m_leaving(m_entry.leaving)
{
    m_cold.onStated(m_entry.coldFor, now);
}

void leaf::update(registered_server entry, time_point now)
{
    if (entry.startedAt != m_entry.startedAt || entry.address != m_entry.address) {
        m_slownessExcess = 0;
        m_lastSlow.reset();
        m_errors = 0;
        m_coldUntil = now + entry.coldFor;
        m_ejectedUntil.reset();
        m_ejections = 0;
        m_consecutiveLosses = 0;
        m_leaving = false;
        m_pausedUntil = {};
        m_rateShare.reset();
        m_load.reset();
        m_observations.clear();
        m_restartedAt = now;
        if (entry.coldFor > std::chrono::milliseconds::zero())
            m_cold.onStated(entry.coldFor, now);
        else
            m_cold.onSuspected(now);
    }
    m_leaving = m_leaving || entry.leaving;
    m_entry = std::move(entry);
    m_limit.setCeiling(m_settings.requestsPerSlot * m_entry.slots);
    unlistedSince.reset();
}

void leaf::onRateLimit(std::optional<double> perSecond, double phase, time_point now)
{
    if (!perSecond.has_value())
        m_rateShare.reset();
    else if (m_rateShare.has_value())
        m_rateShare->update(*perSecond, m_hosts, now);
    else
        m_rateShare.emplace(m_settings.rateLimits, *perSecond, m_hosts, phase, now);
}

std::optional<double> leaf::rateLimit() const
{
    return m_rateShare.has_value() ? std::optional(m_rateShare->limit()) : std::nullopt;
}

void leaf::setHosts(std::size_t hosts, time_point now)
{
    m_hosts = hosts;
    if (m_rateShare.has_value())
        m_rateShare->update(m_rateShare->limit(), hosts, now);
}

void leaf::onChosen(double recent, double weight, time_point now)
{
    m_recent.raise(recent, now);
    m_requestWeight = weight;
}

void leaf::onSent(attempt_id attempt, duration expected, time_point now)
{
    m_recent.add(m_requestWeight, now);
    const auto stallTime = std::chrono::duration_cast<duration>(expected * m_settings.stallFactor
                                                                * std::max(1.0, slowness(now)));
    m_outstanding.push_back(
        {attempt, now, now + std::max<duration>(stallTime, m_settings.minStallTime)});
    if (m_rateShare.has_value())
        m_rateShare->take(now);
    m_cold.take(now);
}

double leaf::roomUntil(duration processingTime, time_point now, time_point until) const
{
    if (!isLimited(now)) {
        const std::chrono::duration<double> left = until - now;
        const std::chrono::duration<double> needed = processingTime * slowness(now);
        const double finished = needed.count() > 0 ? std::clamp(left / needed, 0.0, 1.0) : 1;
        return static_cast<double>(inFlight()) * finished;
    }
    std::size_t room = std::numeric_limits<std::size_t>::max();
    if (m_rateShare.has_value())
        room = m_rateShare->countUntil(now, until);
    if (m_cold.isLimited(now))
        room = std::min(room, m_cold.countUntil(now, until));
    return static_cast<double>(room);
}

bool leaf::onLoadReport(const load_report &load, time_point sent, time_point now)
{
    if (!load.isPlausible() || sent < m_restartedAt)
        return false;
    m_load = load;
    m_loadAt = now;
    return true;
}

std::optional<aged_load_report> leaf::loadReport(time_point now) const
{
    return m_load.has_value() ? std::optional(aged_load_report{*m_load, now - m_loadAt})
                              : std::nullopt;
}

void leaf::onAnswer(attempt_id attempt, double slowness, bool late, time_point now)
{
    const auto before = static_cast<std::uint32_t>(m_outstanding.size());
    const std::optional<time_point> sent = removeOutstanding(attempt);
    clearFailures(now);
    addErrorSample(0, now);
    if (late)
        m_limit.onOverload(m_settings.limitDecrease, m_settings.limitDecreaseInterval, now);
    else
        m_limit.onGoodReply(before, now);
    addSlownessSample(std::min(slowness, m_settings.maxSlowness), sent.value_or(now), now);
}

void leaf::addSlownessSample(double slowness, time_point sent, time_point now)
{
    const double before = decayed(m_slownessExcess, m_slownessAt, now);
    m_slownessExcess = before + m_settings.sampleWeight * (slowness - 1 - before);
    m_slownessAt = now;
    m_answeredSent = std::max(m_answeredSent, sent);
    if (slowness < m_settings.slowThreshold) {
        m_lastSlow.reset();
        return;
    }
    // A pause delays all requests that were sent before it ended. A slow answer to a request that
    // was sent after another slow answer arrived indicates a slow server instead.
    if (m_lastSlow.has_value() && sent >= m_lastSlow->at) {
        const double both = std::min(slowness, m_lastSlow->slowness);
        m_slownessExcess = std::max(m_slownessExcess, both - 1);
    }
    m_lastSlow = {now, slowness};
    applyNormalObservation();
}

bool leaf::addObservation(const reported_slowness &observed, double trialFraction, time_point now)
{
    if (!m_observations.add(m_settings.observations, observed, trialFraction, now))
        return false;
    applyNormalObservation();
    return true;
}

void leaf::applyNormalObservation()
{
    const auto normal = m_observations.latestNormal();
    if (normal.has_value() && *normal > m_answeredSent)
        m_slownessExcess = std::min(m_slownessExcess, m_settings.excessAfterNormal);
}

void leaf::onError(attempt_id attempt, time_point now)
{
    removeOutstanding(attempt);
    clearFailures(now);
    addErrorSample(1, now);
}

void leaf::onRefusal(attempt_id attempt, time_point now)
{
    removeOutstanding(attempt);
    clearFailures(now);
    addErrorSample(1, now);
    m_limit.onOverload(m_settings.limitDecrease, m_settings.limitDecreaseInterval, now);
    m_backoffUntil = now + m_settings.refusalBackoff;
}

void leaf::onNotAccepted(attempt_id attempt, time_point now)
{
    removeOutstanding(attempt);
    // The server still counts the connections of hosts that lost power until it detects the loss.
    // The error estimate stays unchanged, since the server works.
    m_limit.onOverload(m_settings.limitDecrease, m_settings.limitDecreaseInterval, now);
    m_backoffUntil = now + m_settings.refusalBackoff;
}

void leaf::onConnectionLoss(attempt_id attempt, time_point now)
{
    removeOutstanding(attempt);
    addErrorSample(1, now);
    m_cold.onSuspected(now);
    if (++m_consecutiveLosses >= m_settings.lossesBeforeEjection)
        eject(now);
}

void leaf::onNoResponse(attempt_id attempt, time_point now)
{
    removeOutstanding(attempt);
    addErrorSample(1, now);
    m_cold.onSuspected(now);
    eject(now);
}

void leaf::onCancel(attempt_id attempt)
{
    removeOutstanding(attempt);
}

bool leaf::isStalled(time_point now) const
{
    return m_settings.detectsPauses
        && std::any_of(m_outstanding.begin(), m_outstanding.end(),
                       [now](const outstanding &each) { return now >= each.stallsAt; });
}

bool leaf::isEjected(time_point now) const
{
    // One trial request at a time, so that a server that is still down delays only one request.
    return m_ejectedUntil.has_value() && (now < *m_ejectedUntil || !m_outstanding.empty());
}

std::optional<time_point> leaf::usableAt(time_point now) const
{
    if (isLeaving())
        return std::nullopt;
    return std::max({turnAt(now), m_pausedUntil, m_ejectedUntil.value_or(now)});
}

double leaf::slowness(time_point now) const
{
    const double estimate = 1 + decayed(m_slownessExcess, m_slownessAt, now);
    return now < m_coldUntil ? std::max(estimate, m_settings.coldSlowness) : estimate;
}

double leaf::errorShare(time_point now) const
{
    return decayed(m_errors, m_errorsAt, now);
}

std::optional<time_point> leaf::removeOutstanding(attempt_id attempt)
{
    const auto position =
        std::find_if(m_outstanding.begin(), m_outstanding.end(),
                     [attempt](const outstanding &each) { return each.attempt == attempt; });
    if (position == m_outstanding.end())
        return std::nullopt;
    const time_point sent = position->sent;
    m_outstanding.erase(position);
    return sent;
}

void leaf::eject(time_point now)
{
    // Requests in progress at the ejection fail for the same reason and do not extend it.
    if (m_ejectedUntil.has_value() && now < *m_ejectedUntil)
        return;
    const auto longest = m_settings.longestEjection;
    duration time = m_settings.firstEjection;
    for (std::uint32_t i = 0; i < m_ejections && time < longest; ++i)
        time *= 2;
    m_ejectedUntil = now + std::min<duration>(time, longest);
    ++m_ejections;
}

void leaf::clearFailures(time_point now)
{
    m_lastAnswer = now;
    m_consecutiveLosses = 0;
    m_ejections = 0;
    m_ejectedUntil.reset();
}

double leaf::decayed(double excess, time_point since, time_point now) const
{
    const std::chrono::duration<double> age = now - since;
    const std::chrono::duration<double> halfLife = m_settings.estimateHalfLife;
    return excess * std::exp2(-age.count() / halfLife.count());
}

void leaf::addErrorSample(double sample, time_point now)
{
    const double before = decayed(m_errors, m_errorsAt, now);
    m_errors = before + m_settings.sampleWeight * (sample - before);
    m_errorsAt = now;
}

} // namespace waxwing::relay
