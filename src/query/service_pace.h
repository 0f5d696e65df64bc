#pragma once

#include "query/attempt_budget.h"
#include "query/leaf_latency.h"
#include "query/query_settings.h"

namespace waxwing {

/// Latency of a service's backend servers, and the extra requests that it may send.
struct service_pace
{
    /// Starts without samples and with full budgets.
    explicit service_pace(const query_settings &settings)
        : hedges(settings.budgetBurst), retries(settings.budgetBurst), slow(settings.hedgeQuantile),
          usual(0.5)
    { }

    /// Hedges.
    attempt_budget hedges;
    /// Retries.
    attempt_budget retries;
    /// Latency after which a shard is hedged.
    leaf_latency slow;
    /// Median latency.
    leaf_latency usual;
};

} // namespace waxwing
