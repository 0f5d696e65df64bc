#pragma once

#include "backends/leaf_latency.h"
#include "query/attempt_budget.h"
#include "query/query_settings.h"

#include <algorithm>
#include <cstddef>

namespace waxwing {

/// Latency of a service's backend servers, and the extra requests that it may send.
struct service_request_state
{
    /// Starts without samples and with full budgets for a service of `shards` shards.
    service_request_state(const query_settings &settings, std::size_t shards)
        : hedgeTokens(std::max(settings.budgetBurst,
                               settings.hedgeBurstPerShard * static_cast<double>(shards))),
          retryTokens(std::max(settings.budgetBurst,
                               settings.retryBurstPerShard * static_cast<double>(shards))),
          hedgeLatency(settings.hedgeQuantile), medianLatency(0.5)
    { }

    attempt_budget hedgeTokens;
    attempt_budget retryTokens;
    /// Latency after which a shard is hedged.
    leaf_latency hedgeLatency;
    leaf_latency medianLatency;
};

} // namespace waxwing
