#include "telemetry/metrics_registry.h"

#include <fmt/format.h>

#include <iterator>

namespace waxwing {
namespace {

/// Names come from code only; the bound keeps a name made from input from using up memory.
constexpr std::size_t maxNames = 2000;

std::string exportedName(std::string_view name)
{
    std::string result = "waxwing_";
    for (const char c : name) {
        const bool allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '_' || c == ':';
        result += allowed ? c : '_';
    }
    return result;
}

/// The value called `name`, created if there is room; null otherwise.
template<typename Value>
Value *findOrCreate(std::map<std::string, Value, std::less<>> &values, std::string_view name)
{
    const auto found = values.find(name);
    if (found != values.end())
        return &found->second;
    if (values.size() >= maxNames)
        return nullptr;
    return &values.emplace(std::string(name), Value{}).first->second;
}

void renderDistribution(std::string &text, const std::string &name,
                        const distribution_metric &metric)
{
    auto out = std::back_inserter(text);
    fmt::format_to(out, "# TYPE {} summary\n", name);
    for (const double share : {0.5, 0.9, 0.99})
        fmt::format_to(out, "{}{{quantile=\"{}\"}} {}\n", name, share, metric.quantile(share));
    fmt::format_to(out, "{}_sum {}\n{}_count {}\n", name, metric.sum(), name, metric.count());
    if (name.ends_with("_seconds")) {
        fmt::format_to(out, "# TYPE {}_histogram histogram\n", name);
        for (std::size_t i = 0; i < distribution_metric::classCount; ++i)
            fmt::format_to(out, "{}_histogram_bucket{{le=\"{}\"}} {}\n", name,
                           distribution_metric::upperBound(i), metric.countUpTo(i));
        fmt::format_to(out, "{}_histogram_bucket{{le=\"+Inf\"}} {}\n", name, metric.count());
        fmt::format_to(out, "{}_histogram_sum {}\n{}_histogram_count {}\n", name, metric.sum(),
                       name, metric.count());
    }
    fmt::format_to(out, "# TYPE {}_mean gauge\n{}_mean {}\n", name, name, metric.mean());
}

} // namespace

void metrics_registry::count(std::string_view name, std::uint64_t amount)
{
    if (auto *value = findOrCreate(m_counters, name))
        *value += amount;
}

void metrics_registry::sample(std::string_view name, double value)
{
    if (auto *metric = findOrCreate(m_distributions, name))
        metric->add(value);
}

std::uint64_t metrics_registry::counter(std::string_view name) const
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string metrics_registry::render() const
{
    std::string text;
    for (const auto &[name, value] : m_counters) {
        const std::string exported = exportedName(name);
        fmt::format_to(std::back_inserter(text), "# TYPE {} counter\n{} {}\n", exported, exported,
                       value);
    }
    for (const auto &[name, metric] : m_distributions)
        renderDistribution(text, exportedName(name), metric);
    return text;
}

} // namespace waxwing
