#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace waxwing::relay {

/// Limit on the requests that a service gets beyond the first of each caller's request.
struct extra_request_budget_settings
{
    /// Extra requests for each request of the window, over all hosts.
    double share = 0.2;
    /// Extra requests in a window that are always allowed, over all hosts.
    double base = 10;
    /// Length of any window in which the limit holds.
    std::chrono::milliseconds window{10000};
    /// Part of the limit that is used. The rest covers requests that end on another host than the
    /// window was counted on, and the delay until a request arrives.
    double usedFraction = 0.85;
    /// Part of the used limit that hedges may take; the rest is kept for retries after failures.
    double hedgeFraction = 0.7;

    bool operator==(const extra_request_budget_settings &) const = default;
};

/// Extra requests of one host to one service, counted in a sliding window.
///
/// All hosts share the limit without talking to each other: each allows the share of the requests
/// that it received itself, and an equal part of the base.
class extra_request_budget
{
public:
    explicit extra_request_budget(extra_request_budget_settings settings);

    /// Sets the number of hosts among which the base is divided.
    void setHosts(std::size_t hosts);
    /// A caller's request for the service arrived.
    void onRequest(time_point now);
    /// Takes an extra request for a hedge. Returns false if none is left.
    bool spendOnHedge(time_point now);
    /// Takes an extra request for a retry after a failure. Returns false if none is left.
    bool spendOnRetry(time_point now);
    /// Extra requests in the last window.
    std::uint32_t spent(time_point now);

private:
    /// Events of a short time, counted together.
    struct slice
    {
        time_point begin;
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    slice &currentSlice(time_point now);
    void removeExpired(time_point now);
    double limit() const;
    bool spend(double allowed, time_point now);

    extra_request_budget_settings m_settings;
    std::size_t m_hosts = 1;
    std::deque<slice> m_slices;
    std::uint32_t m_requests = 0;
    std::uint32_t m_extras = 0;
};

} // namespace waxwing::relay
