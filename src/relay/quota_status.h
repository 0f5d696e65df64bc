#pragma once

#include "core/clock.h"
#include "quota/busiest_organisations.h"

#include <map>
#include <string>

namespace waxwing::relay {

/// Quotas on a relay host, for the metrics page.
struct quota_status
{
    /// Whether the settings and the routes name quotas. Nothing else is set otherwise.
    bool isActive = false;
    /// Whether the host owns quotas and grants permits.
    bool isOwner = false;
    /// Part of the quotas that the host grants as an owner, or its equal share that it uses while
    /// no owner answers, 0 to 1.
    double share = 0;
    /// Since when `share` has this value.
    time_point shareSince{};
    /// Requests of the busiest organisations, and of all others together.
    std::map<std::string, quota_counts> organisations;
    quota_counts others;

    bool operator==(const quota_status &) const = default;
};

} // namespace waxwing::relay
