#pragma once

#include "core/strong_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// Customer of the operators, as configured with the routes.
struct organisation
{
    organisation_id id;
    /// Keys that identify its callers.
    std::vector<std::string> keys;
    /// Priority under overload; 0 is served first. Takes precedence over the rank of a route.
    std::uint32_t rank = 0;
    /// Requests a second that it may send to all hosts together; 0 for no limit.
    double ratePerSecond = 0;
    /// Requests that it may send at once in addition.
    double burst = 0;
    /// Regions in which its requests may be served; empty for any.
    std::vector<std::string> allowedRegions;

    /// Whether the number of its requests is limited.
    bool hasQuota() const { return ratePerSecond > 0; }

    bool operator==(const organisation &) const = default;
};

} // namespace waxwing
