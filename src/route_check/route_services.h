#pragma once

#include "relay/route_document.h"

#include <vector>

namespace waxwing::route_check {

/// Services that receive requests of the route: its shards, or its targets with a positive weight.
inline std::vector<service_id> usedServices(const relay::route &subject)
{
    std::vector<service_id> result = subject.shards;
    for (const relay::weighted_service &target : subject.targets) {
        if (target.weight > 0)
            result.push_back(target.service);
    }
    return result;
}

} // namespace waxwing::route_check
