#pragma once

#include "core/clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <cstddef>
#include <optional>

namespace waxwing {

/// Quantile of recent latencies: that of the last full window, of the first one while it fills.
///
/// Exact within a window. Latencies have a mode for each zone, and an estimate of the 98th
/// percentile that is off by a few parts in a hundred lands in the last mode, where it hedges ten
/// times as many requests.
class leaf_latency
{
public:
    /// Estimates the quantile `probability`, 0..1.
    explicit leaf_latency(double probability);

    /// Adds a latency.
    void add(duration latency, time_point now);
    /// The quantile; empty before there are enough samples.
    std::optional<duration> quantile() const { return m_estimate; }

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count,
            boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

    /// Samples of a window; at 3 in 100 hedged, 30 of them are beyond the quantile.
    static constexpr std::size_t windowSize = 1000;
    /// Samples before the first estimate.
    static constexpr std::size_t minSamples = 50;
    /// Longest window, so that a quiet service follows its servers too.
    static constexpr std::chrono::seconds maxWindowTime{10};

    accumulator makeWindow() const;

    double m_probability;
    accumulator m_window;
    time_point m_windowStart;
    bool m_isFirstWindow = true;
    std::optional<duration> m_estimate;
};

} // namespace waxwing
