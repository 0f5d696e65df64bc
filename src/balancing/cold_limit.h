#pragma once

#include "allowance/rate_limit_share.h"
#include "core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace waxwing {

/// Requests a second that a cold server tolerates, as configured for its service.
struct cold_rate
{
    /// From all hosts together; 0 if they are not limited.
    double perSecond = 0;
    /// Time for which a server is assumed to be cold after a crash or return.
    std::chrono::milliseconds warmUp{0};

    bool operator==(const cold_rate &) const = default;
};

/// Limit on the requests of this host to a server that is cold, and whether it is.
///
/// A server states how long it is cold, in its registration or its answers. After a crash, a
/// restart or a return it is suspected to be cold until it states something or answers without
/// doing so.
class cold_limit
{
public:
    /// Time for which an unused turn remains valid. Bounds what hosts that had no requests can send
    /// at once.
    static constexpr std::chrono::milliseconds turnValidity{300};
    /// Part of the rate that the hosts use. Turns begin at random times and unused ones stay valid
    /// for a while, so with the whole rate a burst may exceed what the server tolerates.
    static constexpr double usedShare = 0.8;

    /// Changes the rate, or the number of hosts that share it. `phase` is used for the first turn;
    /// see `rate_limit_share`.
    void configure(const cold_rate &rate, std::size_t hosts, double phase, time_point now);
    /// Records that the server is cold for `coldFor`, as it stated for now. Replaces what was known
    /// or suspected.
    void onStated(duration coldFor, time_point now);
    /// Records that the server may have restarted.
    void onSuspected(time_point now);
    /// Records an answer without a statement to a request that was sent at `sent`. Cold servers
    /// state in each answer that they are, so it ends an older suspicion.
    void onAnswerWithoutStatement(time_point sent);

    /// Whether the server is cold and its service has a rate for cold servers.
    bool isLimited(time_point now) const { return m_share.has_value() && now < endsAt(); }
    /// Whether a request can be sent now.
    bool hasTurn(time_point now) const { return !isLimited(now) || m_share->isAvailable(now); }
    /// Earliest time at which a request can be sent, at least `now`.
    time_point turnAt(time_point now) const
    {
        return isLimited(now) ? std::min(m_share->availableAt(now), endsAt()) : now;
    }
    /// Number of requests that can be sent from `now` until `until` while the server is cold.
    std::size_t countUntil(time_point now, time_point until) const
    {
        return m_share->countUntil(now, until);
    }
    /// Uses a turn for a request that is sent now.
    void take(time_point now)
    {
        if (isLimited(now))
            m_share->take(now);
    }
    /// When the server is no longer cold, as far as is known.
    time_point endsAt() const { return std::max(m_statedUntil, m_suspectedUntil); }

private:
    void startTurns(time_point now);

    cold_rate m_rate;
    std::size_t m_hosts = 1;
    double m_phase = 0;
    time_point m_statedUntil{};
    /// Latest suspicion, and when it ends.
    time_point m_suspectedAt{};
    time_point m_suspectedUntil{};
    /// Empty if the service has no rate for cold servers.
    std::optional<rate_limit_share> m_share;
};

} // namespace waxwing
