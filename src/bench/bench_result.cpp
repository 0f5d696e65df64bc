#include "bench/bench_result.h"

#include <nlohmann/json.hpp>

namespace waxwing {

bench_result bench_result::atMost(std::string name, std::string metric, std::string unit,
                                  std::optional<double> baseline, double now, double target)
{
    return {std::move(name), std::move(metric), std::move(unit), baseline, now,
            target,          now <= target};
}

bench_result bench_result::atLeast(std::string name, std::string metric, std::string unit,
                                   std::optional<double> baseline, double now, double target)
{
    return {std::move(name), std::move(metric), std::move(unit), baseline, now,
            target,          now >= target};
}

bench_result bench_result::plain(std::string name, std::string metric, std::string unit, double now)
{
    return {
        std::move(name), std::move(metric), std::move(unit), std::nullopt, now, std::nullopt, true};
}

std::string bench_result::toJsonLine() const
{
    const auto orNull = [](const std::optional<double> &value) {
        return value ? nlohmann::ordered_json(*value) : nlohmann::ordered_json();
    };
    std::optional<double> ratio;
    if (baseline && *baseline != 0)
        ratio = now / *baseline;
    return nlohmann::ordered_json{{"name", name},
                                  {"metric", metric},
                                  {"unit", unit},
                                  {"baseline", orNull(baseline)},
                                  {"now", now},
                                  {"ratio", orNull(ratio)},
                                  {"target", orNull(target)},
                                  {"met", met}}
        .dump();
}

} // namespace waxwing
