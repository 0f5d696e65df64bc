#include "quota/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

/// Time constant of the measured demand, in seconds. Short, so that a surge counts at once.
constexpr double demandTime = 0.4;

duration toDuration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

quota_bucket::quota_bucket(const quota_settings &settings, const quota_terms &terms,
                           time_point ownedSince, bool isFleetStart)
    : m_settings(settings), m_terms(terms), m_level(firstLevel(settings, terms, isFleetStart)),
      m_ownedSince(ownedSince), m_at(ownedSince), m_lastUse(ownedSince), m_promised(ownedSince)
{ }

void quota_bucket::takeOver(time_point ownedSince, bool isFleetStart)
{
    m_level = std::min(m_level, firstLevel(m_settings, m_terms, isFleetStart));
    m_ownedSince = ownedSince;
    m_at = std::max(m_at, ownedSince);
}

void quota_bucket::advance(const quota_terms &terms, double share, time_point now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - m_at).count());
    m_at = std::max(m_at, now);
    m_terms = terms;
    m_share = share;
    m_level = std::min(capacity(), m_level + elapsed * terms.ratePerSecond * share);
    m_demand *= std::exp(-elapsed / demandTime);
    m_timelyDemand *= std::exp(-elapsed / demandTime);
}

void quota_bucket::charge(std::uint64_t requests)
{
    if (requests == 0)
        return;
    const auto amount = static_cast<double>(requests);
    m_level = std::max(m_level - amount, -m_terms.ratePerSecond * seconds());
    m_demand += amount / demandTime;
    m_lastUse = m_at;
}

std::uint32_t quota_bucket::grant(std::uint32_t wanted)
{
    m_timelyDemand += wanted / demandTime;
    return take(wanted, 0);
}

std::uint32_t quota_bucket::grantLate(std::uint32_t wanted)
{
    // Requests of the next tenth of a second that can be answered in time find permits, at least
    // one if there was such a request in the last 0.4 s. If these requests use the whole quota, the
    // level does not get above this.
    constexpr double keptSeconds = 0.1;
    const double kept = m_timelyDemand * keptSeconds + std::min(1.0, m_timelyDemand * demandTime);
    // A new owner limits every organisation, also those that are within their quota.
    return take(wanted, isNew() ? 0 : std::min(kept, capacity() / 2));
}

std::uint32_t quota_bucket::take(std::uint32_t wanted, double kept)
{
    if (wanted == 0)
        return 0;
    const double whole = std::floor(std::max(0.0, m_level - kept));
    const auto granted = static_cast<std::uint32_t>(std::min<double>(wanted, whole));
    m_level -= granted;
    m_demand += wanted / demandTime;
    m_lastUse = m_at;
    return granted;
}

void quota_bucket::refund(std::uint64_t permits)
{
    m_level = std::min(capacity(), m_level + static_cast<double>(permits));
}

bool quota_bucket::isNew() const
{
    return m_at - m_ownedSince < toDuration(demandTime);
}

double quota_bucket::limitedLevel() const
{
    const double notice = std::chrono::duration<double>(m_settings.noticeTime).count();
    return std::min(1 + m_demand * notice, capacity() * 0.9);
}

bool quota_bucket::updateLimited()
{
    // A higher level opens the organisation, so that it does not change with every request.
    const double opens = std::min(1 + 2 * limitedLevel(), capacity() * 0.95);
    // A new owner has to measure the demand first.
    const bool limited = isNew() || (m_isLimited ? m_level < opens : m_level < limitedLevel());
    const bool changed = limited != m_isLimited;
    m_isLimited = limited;
    return changed;
}

bool quota_bucket::isIdle(time_point now) const
{
    return now - m_lastUse >= m_settings.idleTime && m_level >= capacity();
}

duration quota_bucket::untilNextPermit() const
{
    const double missing = std::max(0.0, 1 - m_level);
    const double rate = m_terms.ratePerSecond * m_share;
    return toDuration(rate > 0 ? std::min(missing / rate, seconds()) : seconds());
}

duration quota_bucket::promise(std::uint32_t refused, time_point now)
{
    const double rate = std::max(m_terms.ratePerSecond * m_share, 1e-6);
    const duration gap = toDuration(std::min(1 / rate, seconds()));
    const time_point latest = now + m_settings.window;
    const time_point first = std::min(latest, std::max(now + untilNextPermit(), m_promised + gap));
    m_promised = std::min(latest, first + gap * (std::max(refused, 1U) - 1));
    return first - now;
}

} // namespace waxwing
