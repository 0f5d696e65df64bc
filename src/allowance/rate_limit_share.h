#pragma once

#include "core/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace waxwing {

/// Settings of `rate_limit_share`.
struct rate_limit_share_settings
{
    /// Time after the beginning of a turn in which it can be used. Bounds the requests that hosts
    /// which did not use their turns can send at once.
    std::chrono::milliseconds turnValidity{1500};
    /// Lower bound of the limit of a server, in requests a second from all hosts. Without any
    /// request, hosts would not notice that the limit has ended.
    double minPerSecond = 0.25;

    bool operator==(const rate_limit_share_settings &) const = default;
};

/// Share of one host in the rate of requests that a server accepts from all hosts together.
///
/// The hosts share the limit equally without communicating. Each host has periodic turns, each of
/// which allows one request. Handles fleets in which the share of a host is less than one request
/// in many seconds: unused turns expire, and the turns of different hosts begin at different times.
class rate_limit_share
{
public:
    /// `phase`, from 0 to 1, is the part of a period after which the first turn begins.
    rate_limit_share(const rate_limit_share_settings &settings, double perSecond, std::size_t hosts,
                     double phase, time_point now);

    /// Limit that the server named, in requests a second from all hosts.
    double limit() const { return m_limit; }
    /// Changes the limit, or the number of hosts that share it. 0 hosts count as 1.
    void update(double perSecond, std::size_t hosts, time_point now);

    /// Whether a request can be sent now.
    bool isAvailable(time_point now) const { return oldestTurn(now) <= now; }
    /// Earliest time at which a request can be sent, at least `now`.
    time_point availableAt(time_point now) const { return std::max(now, oldestTurn(now)); }
    /// Number of requests that can be sent from `now` until `until`.
    std::size_t countUntil(time_point now, time_point until) const;
    /// Uses a turn for a request that is sent now.
    void take(time_point now) { m_turn = oldestTurn(now) + m_period; }

private:
    duration periodOf(double perSecond, std::size_t hosts) const;
    time_point oldestTurn(time_point now) const;

    rate_limit_share_settings m_settings;
    double m_limit;
    duration m_period;
    /// Beginning of a turn. The earlier ones are used or expired.
    time_point m_turn;
};

} // namespace waxwing
