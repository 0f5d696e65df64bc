#pragma once

#include "telemetry/distribution_metric.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace waxwing {

/// Counters and distributions by name.
class metrics_registry
{
public:
    /// Adds to a counter.
    void count(std::string_view name, std::uint64_t amount = 1);
    /// Adds a sample to a distribution.
    void sample(std::string_view name, double value);
    /// Value of a counter; 0 if it was never counted.
    std::uint64_t counter(std::string_view name) const;
    /// Every metric in the Prometheus text format, each name preceded by `waxwing_`.
    std::string render() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, distribution_metric, std::less<>> m_distributions;
};

} // namespace waxwing
