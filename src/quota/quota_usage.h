#pragma once

#include "allowance/rate_limit_share.h"
#include "quota/quota_settings.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace waxwing {

/// Decision on a request of an organisation with a quota.
struct quota_decision
{
    enum class kind_type {
        Admit,
        /// A decision follows within `quota_settings::maxWait`.
        Wait,
        /// Above the quota.
        Refuse,
        /// This host cannot decide, because it has just started. Another one can.
        NotReady,
    };
    enum class basis_kind {
        /// The organisation has no quota.
        None,
        /// The organisation is open.
        Open,
        /// A permit, or the answer that there is none.
        Permit,
        /// The host's equal share.
        EqualShare,
    };

    kind_type kind = kind_type::Admit;
    basis_kind basis = basis_kind::None;
    /// Time until its turn, if it is refused.
    duration retryAfter{};

    bool operator==(const quota_decision &) const = default;
};

/// What a host knows of one organisation.
struct quota_usage
{
    struct waiting_request
    {
        std::uint64_t id = 0;
        time_point until;
        /// First report that asked for its permit; 0 if none did.
        std::uint64_t askedIn = 0;
        /// From when on it can no longer be answered within its latency target.
        time_point lateAt = time_point::max();
    };

    /// Requests admitted without a permit, as in `quota_entry::used`.
    std::uint64_t used = 0;
    std::uint64_t acknowledged = 0;
    /// Waiting requests in order of arrival.
    std::deque<waiting_request> waiting;
    /// When permits were asked for last.
    time_point askedAt{};
    /// Number of permits that were received, as in `quota_entry::permits`.
    std::uint64_t received = 0;
    /// Number of permits that expired, as in `quota_entry::unused`.
    std::uint64_t unused = 0;
    /// The part of it that a report contained.
    std::uint64_t returned = 0;
    /// Expiry times of unused permits, in ascending order.
    std::deque<time_point> permits;
    bool isLimited = false;
    /// Stamp of the message that `isLimited` comes from, and the hash of the owner's name.
    std::uint64_t stamp = 0;
    std::uint64_t stampedBy = 0;
    /// Until when the owner has no permit for any host.
    time_point noPermitUntil{};
    /// When the turn of the latest refused request is due.
    time_point due{};
    /// Share without an owner; empty until it is needed.
    std::optional<rate_limit_share> share;
    /// Quota that the share was created for.
    quota_terms shareTerms;
    time_point lastUse{};
    /// Whether a request was admitted before the host could know the owner.
    bool hasAdmittedAtStart = false;

    /// Lets the totals of requests and permits begin at `total`. No permit is unused yet.
    void restart(std::uint64_t total) { used = acknowledged = received = total; }
    /// Removes expired permits and uses one. Returns false if there is none.
    bool takePermit(time_point now);
    /// Counts expired permits as unused.
    void expirePermits(time_point now);
    /// Number of waiting requests that can no longer be answered in time.
    std::uint32_t lateCount(time_point now) const;
    /// The waiting request that gets the next permit: the first one that can still be answered in
    /// time, or the first one. There must be one.
    std::deque<waiting_request>::iterator nextInTurn(time_point now);
    /// Whether the next report has to contain the organisation.
    bool isToReport(time_point now, std::chrono::milliseconds askTimeout) const;
};

} // namespace waxwing
