#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// What a `load_runner` sends.
struct load_settings
{
    /// Caller ports of entry hosts; each request goes to a random one, as a balancer would.
    std::vector<endpoint> targets;
    /// Services that are searched in turn.
    std::vector<service_id> services;
    /// Query texts that are sent in turn.
    std::vector<std::string> queries{"watercolour", "linocut", "collage", "ink wash", "gouache"};
    /// Requests per second, sent at even intervals whether or not earlier ones were answered.
    double ratePerSecond = 50;
    /// Searches in all.
    std::uint32_t searches = 200;
    /// Commands in all, spread evenly over the searches.
    std::uint32_t commands = 1;
    /// Hits asked for.
    std::uint32_t limit = 10;
    /// Time after which a request is given up.
    std::chrono::milliseconds timeout{2000};
    /// Seed of the choice of targets and of idempotency keys.
    std::uint64_t seed = 1;

    bool operator==(const load_settings &) const = default;
};

} // namespace waxwing
