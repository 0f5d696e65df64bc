#include "telemetry/distribution_metric.h"

#include <boost/histogram/axis/regular.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace waxwing {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> quantileShares{0.5, 0.9, 0.99};
/// Markers of the extended P-square algorithm: two for each quantile and three more.
constexpr std::size_t markerCount = 2 * quantileShares.size() + 3;

/// Upper bound of the first class.
constexpr double firstBound = 0.001;

using class_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

/// Classes after the first one; their bounds double.
const class_axis &classes()
{
    static const class_axis axis(distribution_metric::classCount - 1, firstBound,
                                 std::ldexp(firstBound, distribution_metric::classCount - 1));
    return axis;
}

} // namespace

distribution_metric::distribution_metric()
    : m_samples(accumulators::extended_p_square_probabilities = quantileShares)
{ }

void distribution_metric::add(double sample)
{
    if (!std::isfinite(sample))
        return;
    m_samples(sample);
    ++m_classes.at(sample < firstBound ? 0 : static_cast<std::size_t>(classes().index(sample) + 1));
    if (m_first.size() <= markerCount)
        m_first.push_back(sample);
}

std::uint64_t distribution_metric::count() const
{
    return accumulators::count(m_samples);
}

double distribution_metric::sum() const
{
    return accumulators::sum(m_samples);
}

double distribution_metric::mean() const
{
    return count() == 0 ? 0 : accumulators::mean(m_samples);
}

double distribution_metric::upperBound(std::size_t index)
{
    return std::ldexp(firstBound, static_cast<int>(index));
}

std::uint64_t distribution_metric::countUpTo(std::size_t index) const
{
    return std::accumulate(m_classes.begin(),
                           m_classes.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                           std::uint64_t{0});
}

double distribution_metric::quantile(double share) const
{
    if (m_first.empty())
        return 0;
    const auto *known = std::find(quantileShares.begin(), quantileShares.end(), share);
    if (known == quantileShares.end())
        return 0;
    if (count() > markerCount)
        return accumulators::extended_p_square(m_samples)[known - quantileShares.begin()];
    std::vector<double> sorted = m_first;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    return sorted[std::min(sorted.size(), static_cast<std::size_t>(std::max(rank, 1.0))) - 1];
}

} // namespace waxwing
