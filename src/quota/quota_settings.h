#pragma once

#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace waxwing {

/// How the operators measure quotas, and the timing of the messages about them.
struct quota_settings
{
    /// Whether quotas are enforced.
    bool isEnabled = false;
    /// Length of the sliding window in which requests are counted.
    std::chrono::milliseconds window{5000};
    /// Tolerated excess in a window, as a fraction of the quota.
    double overage = 0.1;
    /// Tolerated excess in a window in addition, in requests.
    double slack = 20;
    /// Delay from a request to the report that contains it. Short, since a host with 1 to 2
    /// requests a second sends one report for each request with any delay below that.
    std::chrono::milliseconds reportDelay{30};
    /// Time between two reports without usage.
    std::chrono::milliseconds heartbeat{2000};
    /// Time after which a report without an answer is repeated.
    std::chrono::milliseconds retransmission{90};
    /// Time without an answer after which an owner counts as lost. Leaves time for repetitions.
    std::chrono::milliseconds ownerTimeout{300};
    /// Time between two reports to a lost owner.
    std::chrono::milliseconds lostInterval{500};
    /// Time for which an answer permits a host to admit requests of open organisations, and for
    /// which an owner counts the host among those that it shares quotas out to. Covers the time
    /// between two reports and the repetition of one.
    std::chrono::milliseconds contactLease{2500};
    /// Time for which a permit is valid from when it was asked for.
    std::chrono::milliseconds permitLease{250};
    /// Maximum time for which a request waits for a permit.
    std::chrono::milliseconds maxWait{60};
    /// Minimum time between two reports that ask for permits, and time after which a permit is
    /// asked for again. The latter is more than a round trip between regions.
    std::chrono::milliseconds askInterval{5};
    std::chrono::milliseconds askTimeout{30};
    /// Time for which a host that starts neither owns quotas nor uses its share without an owner.
    /// It does not know all other hosts yet: they are requested from another host 500 ms after the
    /// start. Callers are refused meanwhile if all hosts start at once.
    std::chrono::milliseconds startHold{900};
    /// The same for an owner if its whole fleet starts, i.e. if at least three quarters of the
    /// hosts that it knows started within `fleetStartSpread` of itself. Its choice of owners must
    /// have been the same for `fleetStartSettle`, since it changes until the hosts know each other.
    std::chrono::milliseconds fleetStartHold{150};
    std::chrono::milliseconds fleetStartSettle{80};
    std::chrono::milliseconds fleetStartSpread{1500};
    /// Time from the start in which a host repeats its reports sooner, and time between these.
    std::chrono::milliseconds startTime{2000};
    std::chrono::milliseconds startInterval{50};
    /// Time that a notice to all hosts needs; the usage of this time is kept back for it.
    std::chrono::milliseconds noticeTime{250};
    /// Time between two notices while an organisation stays limited.
    std::chrono::milliseconds noticeInterval{1000};
    /// Time after which an organisation without usage is forgotten.
    std::chrono::milliseconds idleTime{10000};

    bool operator==(const quota_settings &) const = default;
};

/// Quota of an organisation.
struct quota_terms
{
    double ratePerSecond = 0;
    double burst = 0;

    /// Half of what the operators' bound leaves above the quota, in requests. The owner uses it for
    /// its bucket; the other half covers requests that it does not know of yet.
    double halfMargin(const quota_settings &settings) const
    {
        const double seconds = std::chrono::duration<double>(settings.window).count();
        return (settings.overage * (ratePerSecond * seconds + burst) + settings.slack) / 2;
    }

    /// Time after which a turn of a host without an owner expires. Hosts that did not use their
    /// turns can admit so many requests at once that three quarters of the margin are used.
    std::chrono::milliseconds turnValidity(const quota_settings &settings) const
    {
        constexpr double longest = 3;
        const double seconds = std::min(longest, 1.5 * halfMargin(settings) / ratePerSecond);
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double>(seconds));
    }

    bool operator==(const quota_terms &) const = default;
};

/// Quotas by `stableHash` of the organisation's name.
using quota_table = absl::flat_hash_map<std::uint64_t, quota_terms>;

} // namespace waxwing
