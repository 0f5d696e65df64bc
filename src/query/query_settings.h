#pragma once

#include <chrono>
#include <cstddef>

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
    /// Quantile of the leaf latency after which a shard is hedged.
    double hedgeQuantile = 0.97;
    /// Hedges or retries that a quiet service may send at once.
    double budgetBurst = 10;
    /// Longest wait for the canary shard of an unknown request, as a share of the time left, while
    /// the service had no crash. A crash shows within a usual leaf latency.
    double quietCanaryShare = 0.1;
    /// The same while the service had a crash recently.
    double alertCanaryShare = 0.5;
    /// When a caller is told to come back after a refusal.
    std::chrono::milliseconds retryAfter{1000};

    bool operator==(const query_settings &) const = default;
};

} // namespace waxwing
