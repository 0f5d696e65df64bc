#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace waxwing::relay {

/// Limit on the hedges and retries that a service receives, summed over all hosts. Every request
/// to a server after the first one for a caller's request counts as an extra request.
struct extra_request_budget_settings
{
    /// Extra requests allowed per caller's request in the window, over all hosts.
    double share = 0.2;
    /// Extra requests allowed per window in addition to `share`, over all hosts.
    double base = 10;
    /// Window length. The limit holds in every window of this length, wherever it begins.
    std::chrono::milliseconds window{10000};
    /// Fraction of the limit that is used. The rest covers requests that end on a host other than
    /// the one that counted them, and the delay until a request arrives at the server.
    double usedFraction = 0.85;
    /// Fraction of the used limit that is available to hedges. The rest is reserved for retries
    /// after failures.
    double hedgeFraction = 0.7;
    /// Fraction of the used limit that is available to hedges and to retries of parts without which
    /// their request can still be answered. The rest is reserved for retries that decide whether a
    /// request is answered.
    double optionalFraction = 0.85;

    bool operator==(const extra_request_budget_settings &) const = default;
};

/// Why a part of a request is sent to a server again. The budget goes to the later kinds first.
enum class extra_request_kind {
    /// The first server has not answered yet.
    Hedge,
    /// The part failed, but the request can be answered without it.
    OptionalRetry,
    /// The part failed, and the request cannot be answered without it.
    NeededRetry,
};

/// Budget for the extra requests of one host to one service, counted in a sliding window.
///
/// Hosts share the limit without communicating. Each host allows `share` of the requests that it
/// received itself plus an equal fraction of `base`.
class extra_request_budget
{
public:
    explicit extra_request_budget(extra_request_budget_settings settings);

    /// Sets the number of hosts among which `base` is divided. 0 counts as 1.
    void setHosts(std::size_t hosts);
    /// Records a caller's request for the service. It increases the limit.
    void onRequest(time_point now);
    /// Takes an extra request from the budget. Returns false and takes nothing if the fraction of
    /// the limit that is available to its kind is exhausted.
    bool spend(extra_request_kind kind, time_point now);
    /// Number of hedges and retries in the current window.
    std::uint32_t spent(time_point now);

private:
    /// Counters of a fraction of the window, which expire together.
    struct slice
    {
        time_point begin;
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    slice &currentSlice(time_point now);
    void removeExpired(time_point now);
    double limit() const;
    double availableFraction(extra_request_kind kind) const;

    extra_request_budget_settings m_settings;
    std::size_t m_hosts = 1;
    std::deque<slice> m_slices;
    std::uint32_t m_requests = 0;
    std::uint32_t m_extras = 0;
};

} // namespace waxwing::relay
