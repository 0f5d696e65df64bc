#pragma once

#include "core/clock.h"
#include "query/leaf_latency.h"

namespace waxwing::relay {

/// How long backend servers work on the requests of a route, without the way there and back.
class processing_time_estimate
{
public:
    /// `goal` is the latency goal of the route, which bounds the estimate before there are
    /// samples.
    explicit processing_time_estimate(duration goal);

    /// Adds the time of one answered request.
    void add(duration processingTime, time_point now);
    /// The median.
    duration typical() const;
    /// Time that few requests exceed, unless their server is slower than the others.
    duration upperQuantile() const;

private:
    duration m_goal;
    leaf_latency m_median;
    leaf_latency m_upperQuantile;
};

} // namespace waxwing::relay
