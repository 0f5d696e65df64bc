#pragma once

#include "core/clock.h"

#include <chrono>

namespace waxwing::relay {

/// Settings of `hedge_rate_limit`.
struct hedge_rate_limit_settings
{
    /// Whether hedges are limited.
    bool isEnabled = true;
    /// Hedges allowed per request that was sent to a server. Pauses and slow servers of a fleet in
    /// order make fewer requests late than that.
    double share = 0.2;
    /// Hedges allowed in addition, so that a host with little traffic can hedge one fan-out.
    double base = 6;
    /// Time constant of the averages.
    std::chrono::milliseconds window{400};

    bool operator==(const hedge_rate_limit_settings &) const = default;
};

/// Limits the hedges of this host to all services together, relative to the requests that it sent
/// lately.
///
/// Answers a surge of requests that makes all servers slow at once. A third of the requests is then
/// late, and hedging them would send the servers a third more when they have no room for it. The
/// retry budget does not prevent that: it is meant for failures and allows several seconds' worth
/// of hedges at once.
class hedge_rate_limit
{
public:
    explicit hedge_rate_limit(const hedge_rate_limit_settings &settings) : m_settings(settings) { }

    /// Records a request to a server, hedges included.
    void onSent(time_point now);
    /// Records that the latest request was a hedge.
    void onHedge(time_point now);
    /// Whether another hedge may be sent.
    bool isAvailable(time_point now) const;

private:
    /// Factor by which the counts have decayed since `m_at`.
    double decayUntil(time_point now) const;
    void decay(time_point now);

    hedge_rate_limit_settings m_settings;
    double m_sent = 0;
    double m_hedges = 0;
    time_point m_at{};
};

} // namespace waxwing::relay
