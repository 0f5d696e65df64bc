#include "backends/leaf_latency.h"

#include <cmath>

namespace waxwing {
namespace {

namespace accumulators = boost::accumulators;

} // namespace

leaf_latency::leaf_latency(double probability) : m_probability(probability), m_window(makeWindow())
{ }

void leaf_latency::add(duration latency, time_point now)
{
    if (accumulators::count(m_window) == 0)
        m_windowStart = now;
    m_window(std::chrono::duration<double>(latency).count());
    const std::size_t samples = accumulators::count(m_window);
    if (samples < minSamples)
        return;
    const bool full = samples >= windowSize || now - m_windowStart >= maxWindowTime;
    if (!full && (!m_isFirstWindow || samples % minSamples != 0))
        return;
    const std::chrono::duration<double> seconds(
        accumulators::quantile(m_window, accumulators::quantile_probability = m_probability));
    m_estimate = std::chrono::duration_cast<duration>(seconds);
    if (!full)
        return;
    m_isFirstWindow = false;
    m_window = makeWindow();
}

leaf_latency::accumulator leaf_latency::makeWindow() const
{
    // Stores only the samples beyond the quantile and the one at it.
    const auto kept =
        static_cast<std::size_t>(std::ceil(static_cast<double>(windowSize) * (1 - m_probability)));
    return accumulator(accumulators::tag::tail<accumulators::right>::cache_size = kept + 1);
}

} // namespace waxwing
