#pragma once

#include "core/strong_id.h"
#include "relay/relay_types.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing::route_check {

/// What is known of a deployment beyond its route document. Checks that need a missing part are
/// not made.
struct check_context
{
    /// Regions by zone, from the settings of the hosts.
    std::optional<std::map<zone_id, std::string>> regions{};
    /// Registered backend servers.
    std::optional<std::vector<relay::registered_server>> servers{};
    /// Time for which a usual request occupies a slot of a server.
    std::optional<std::chrono::duration<double, std::milli>> processingTime{};

    bool operator==(const check_context &) const = default;
};

} // namespace waxwing::route_check
