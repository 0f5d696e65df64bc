#pragma once

#include <chrono>
#include <cstdint>

namespace waxwing {

/// Time limits, hedging limits and canary limits of `query_reducer`.
struct query_settings
{
    /// Time reserved before the deadline for merging and sending an answer.
    std::chrono::milliseconds mergeTime{2};
    /// Time reserved for the network transfer of a forwarded search.
    std::chrono::milliseconds hopTime{4};
    /// Interval between checks for a free replica while all replicas of a shard are at their
    /// limits. A replica that is freed by a reply for the same shard is used immediately.
    std::chrono::milliseconds limitPause{10};
    /// Hedge delay before a service has enough replies for a latency estimate.
    std::chrono::milliseconds firstHedgeDelay{50};
    /// Quantile of the leaf latency after which a shard is hedged. The share of requests beyond the
    /// quantile has to stay below the hedge budget of 3%: at 0.97 the budget was exhausted half of
    /// the time.
    double hedgeQuantile = 0.98;
    /// Maximum number of hedges per shard of a search. With 130 shards and 1 slow reply in 100,
    /// 1.3% of the searches have a shard whose first hedge is slow too.
    std::uint32_t hedgesPerShard = 2;
    /// Minimum number of hedges or retries that a service may send in a burst after a quiet period.
    double budgetBurst = 10;
    /// Retries per shard of the service that may be sent in a burst, if this exceeds `budgetBurst`.
    /// The loss of a zone takes one retry for each request in progress and three for each server
    /// until the server is ejected.
    double retryBurstPerShard = 4;
    /// Hedges per shard of the service that may be sent in a burst, if this exceeds `budgetBurst`.
    /// One hedge per shard allows a single search to meet more slow replies than usual. With 0.25
    /// and 130 shards the 99.5th latency percentile was the same as without hedges.
    double hedgeBurstPerShard = 1;
    /// Maximum wait for the canary shard of an unknown request, as a share of the time left, while
    /// the service has had no recent crash. A request that crashes servers only after this wait
    /// reaches all shards at once. Slow canaries are hedged, so the full wait is rare.
    double quietCanaryShare = 0.3;
    /// Maximum wait for the canary shard, as a share of the time left, after a recent crash of the
    /// service.
    double alertCanaryShare = 0.5;
    /// Delay after a failed canary, during which facts from other hosts can arrive. Facts from
    /// the other region take 20 ms.
    std::chrono::milliseconds canaryPause{25};
    /// Upper limit of `canaryPause`, as a share of the time left.
    double canaryPauseShare = 0.25;
    /// Time after which a caller may retry a refused search.
    std::chrono::milliseconds retryAfter{1000};

    bool operator==(const query_settings &) const = default;
};

} // namespace waxwing
