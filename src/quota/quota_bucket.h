#pragma once

#include "quota/quota_settings.h"

#include <cstdint>

namespace waxwing {

/// Token bucket of one organisation at the owner of its quota. Decides when the organisation is
/// limited, i.e. when its requests need permits.
class quota_bucket
{
public:
    /// `ownedSince` is when the owner took over. It begins with a quarter of the operators' margin,
    /// since it does not know the usage of the last window, and ownership may change again in it.
    /// With `isFleetStart` it begins with an eighth, since ownership changes several times.
    quota_bucket(const quota_settings &settings, const quota_terms &terms, time_point ownedSince,
                 bool isFleetStart = false);

    /// Begins as a new owner again, after another one has owned the quota. The tokens of that time
    /// were granted by the other one.
    void takeOver(time_point ownedSince, bool isFleetStart = false);
    /// Adds the tokens of the time since the last call. `share` is the part of the quota that this
    /// owner grants, 0 to 1.
    void advance(const quota_terms &terms, double share, time_point now);
    /// Takes tokens for requests that were admitted without a permit. The level may become
    /// negative, but not below the tokens of one window: older usage is out of every window.
    void charge(std::uint64_t requests);
    /// Grants up to `wanted` permits.
    std::uint32_t grant(std::uint32_t wanted);
    /// The same for requests that can no longer be answered in time. They get what the others are
    /// expected to leave.
    std::uint32_t grantLate(std::uint32_t wanted);
    /// Returns the tokens of permits that were not used.
    void refund(std::uint64_t permits);
    /// Decides whether the organisation is limited. Returns whether that changed.
    bool updateLimited();

    bool isLimited() const { return m_isLimited; }
    double level() const { return m_level; }
    /// Whether nothing is left to remember: there was no request for `idleTime` and it is full.
    bool isIdle(time_point now) const;
    /// Time until the next permit can be granted; at most a window.
    duration untilNextPermit() const;
    /// Reserves turns for refused requests and returns the time until the first of them.
    duration promise(std::uint32_t refused, time_point now);

private:
    /// Tokens with which an owner begins.
    static double firstLevel(const quota_settings &settings, const quota_terms &terms,
                             bool isFleetStart)
    {
        constexpr double quarter = 0.5;
        return terms.halfMargin(settings) * (isFleetStart ? quarter / 2 : quarter);
    }
    double capacity() const { return m_terms.burst + m_terms.halfMargin(m_settings); }
    double seconds() const { return std::chrono::duration<double>(m_settings.window).count(); }
    /// Whether the owner has to measure the demand first.
    bool isNew() const;
    /// Grants up to `wanted` permits of the tokens above `kept`.
    std::uint32_t take(std::uint32_t wanted, double kept);
    /// Tokens below which the organisation is limited.
    double limitedLevel() const;

    quota_settings m_settings;
    quota_terms m_terms;
    double m_share = 0;
    double m_level;
    /// Requests a second, decaying; includes refused ones.
    double m_demand = 0;
    /// The part of it that can be answered in time.
    double m_timelyDemand = 0;
    bool m_isLimited = false;
    time_point m_ownedSince;
    time_point m_at;
    time_point m_lastUse;
    /// Latest turn that was told to a caller.
    time_point m_promised;
};

} // namespace waxwing
