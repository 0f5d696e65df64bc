#pragma once

#include "backends/leaf_latency.h"
#include "core/clock.h"

namespace waxwing::relay {

/// Estimate of the processing time of a route's requests on backend servers, without network
/// latency.
class processing_time_estimate
{
public:
    /// `goal` is the latency goal of the route. The estimate is a fraction of it until there are
    /// samples.
    explicit processing_time_estimate(duration goal);

    /// Adds the processing time of an answered request.
    void add(duration processingTime, time_point now);
    /// Median processing time, at least 1 ms.
    duration typical() const;
    /// 90th percentile of the processing time. A request that exceeds it is probably on a server
    /// that is slower than the others.
    duration upperQuantile() const;

private:
    duration m_goal;
    leaf_latency m_median;
    leaf_latency m_upperQuantile;
};

} // namespace waxwing::relay
