#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwing {

/// Distribution of samples in constant memory.
class distribution_metric
{
public:
    distribution_metric();

    /// Adds a sample. Samples that are not finite are ignored.
    void add(double sample);
    /// Number of samples.
    std::uint64_t count() const;
    /// Sum of the samples.
    double sum() const;
    /// Mean of the samples; 0 without samples.
    double mean() const;
    /// Classes of the histogram; each is twice as wide as the one before.
    static constexpr std::size_t classCount = 15;
    /// Upper bound of a class, from 1 ms for samples in seconds to 16.384 s.
    static double upperBound(std::size_t index);
    /// Samples up to the upper bound of a class.
    std::uint64_t countUpTo(std::size_t index) const;
    /// Estimate of the quantile `share`, one of 0.5, 0.9 and 0.99; 0 without samples.
    double quantile(double share) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::mean,
                                   boost::accumulators::tag::extended_p_square>>;

    accumulator m_samples;
    /// Samples by class; the last entry has those above all bounds.
    std::array<std::uint64_t, classCount + 1> m_classes{};
    /// The first samples. The estimator has no usable value before each of its markers has one.
    std::vector<double> m_first;
};

} // namespace waxwing
