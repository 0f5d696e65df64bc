#pragma once

#include "core/clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <cstddef>
#include <optional>

namespace waxwing {

/// Quantile of recent latencies, taken from the last full window, or from the first window while it
/// fills.
///
/// Exact within a window. Latencies have one mode per zone, and an estimate of the 98th percentile
/// that is off by a few percent falls into the last mode and causes ten times as many hedges.
class leaf_latency
{
public:
    /// Estimates the quantile `probability`, 0..1.
    explicit leaf_latency(double probability);

    /// Adds a sample that was taken at `now`.
    void add(duration latency, time_point now);
    /// The quantile; empty until `minSamples` samples were added.
    std::optional<duration> quantile() const { return m_estimate; }

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count,
            boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

    /// Samples per window. If 3 in 100 requests are hedged, 30 samples lie beyond the quantile.
    static constexpr std::size_t windowSize = 1000;
    /// Samples before the first estimate, and between two estimates in the first window.
    static constexpr std::size_t minSamples = 50;
    /// Longest time that a window lasts, so that the estimate stays current at low request rates.
    static constexpr std::chrono::seconds maxWindowTime{10};

    accumulator makeWindow() const;

    double m_probability;
    accumulator m_window;
    time_point m_windowStart;
    bool m_isFirstWindow = true;
    std::optional<duration> m_estimate;
};

} // namespace waxwing
