#pragma once

#include <chrono>
#include <cstdint>

namespace waxwing {

/// Limits of `query_reducer`.
struct query_settings
{
    /// Time that is kept for merging and sending an answer.
    std::chrono::milliseconds mergeTime{2};
    /// Time that a forwarded search loses on the way.
    std::chrono::milliseconds hopTime{4};
    /// Time between two looks for a free replica while all are at their limits. A replica that
    /// becomes free by a reply for the same shard is used at once.
    std::chrono::milliseconds limitPause{10};
    /// Hedge delay before a service has enough replies for an estimate.
    std::chrono::milliseconds firstHedgeDelay{50};
    /// Quantile of the leaf latency after which a shard is hedged. Its share of requests beyond it
    /// has to stay below the budget of 3%: at 0.97 the budget was used up half of the time.
    double hedgeQuantile = 0.98;
    /// Hedges of one shard at most. With 130 shards and 1 slow reply in 100, 1.3% of the searches
    /// have a shard whose first hedge is slow too.
    std::uint32_t hedgesPerShard = 2;
    /// Hedges or retries that a quiet service may send at once, at least.
    double budgetBurst = 10;
    /// The same for each shard of the service. The loss of a zone takes one retry for each request
    /// in progress and three for each server until it is ejected.
    double retryBurstPerShard = 4;
    /// The same for hedges. One for each shard lets a single search meet more slow replies than
    /// usual; at 0.25 and 130 shards the 99.5th percentile was that of a search without hedges.
    double hedgeBurstPerShard = 1;
    /// Longest wait for the canary shard of an unknown request, as a share of the time left, while
    /// the service had no crash. A request that crashes servers later than that reaches all shards
    /// at once. A canary that is only slow is hedged, so the wait seldom lasts that long.
    double quietCanaryShare = 0.3;
    /// The same while the service had a crash recently.
    double alertCanaryShare = 0.5;
    /// Wait after a failed canary, in which facts of other hosts arrive, also from the other region
    /// (20 ms).
    std::chrono::milliseconds canaryPause{25};
    /// Longest such wait, as a share of the time left.
    double canaryPauseShare = 0.25;
    /// When a caller is told to come back after a refusal.
    std::chrono::milliseconds retryAfter{1000};

    bool operator==(const query_settings &) const = default;
};

} // namespace waxwing
