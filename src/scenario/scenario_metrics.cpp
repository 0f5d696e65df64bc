#include "scenario/scenario_metrics.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

double quantileMs(std::vector<duration> times, double quantile)
{
    if (times.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(times.size())));
    const auto position = times.begin() + static_cast<std::ptrdiff_t>(rank == 0 ? 0 : rank - 1);
    std::nth_element(times.begin(), position, times.end());
    return std::chrono::duration<double, std::milli>(*position).count();
}

double ratio(double part, double whole)
{
    return whole == 0 ? 0 : part / whole;
}

} // namespace

std::map<std::string, double> scenario_metrics::values() const
{
    const auto number = [](std::uint64_t count) { return static_cast<double>(count); };
    return {
        {"searches", number(searches)},
        {"answered", number(answered)},
        {"refused", number(refused)},
        {"lost", number(searches - answered - refused)},
        {"late", number(late)},
        {"foreign_hits", number(foreignHits)},
        {"wrong_coverage", number(wrongCoverage)},
        {"doubled_hits", number(doubledHits)},
        {"coverage_min", coverageMin},
        {"answered_share", ratio(number(answered), number(searches))},
        {"whole_share", ratio(number(whole), number(answered))},
        {"p50_ms", quantileMs(latencies, 0.5)},
        {"p99_ms", quantileMs(latencies, 0.99)},
        {"p999_ms", quantileMs(latencies, 0.999)},
        {"refusal_p50_ms", quantileMs(refusalLatencies, 0.5)},
        {"leaf_searches_per_search", ratio(number(leafSearches), number(searches))},
        {"leaf_work_per_search", ratio(leafWork, number(searches))},
        {"false_not_run", number(falseNotRun)},
        {"crashes", number(crashes)},
        {"commands", number(commands)},
        {"commands_done", number(commandsDone)},
        {"commands_not_run", number(commandsNotRun)},
        {"commands_unknown", number(commandsUnknown)},
        {"doubled_commands", number(doubledCommands)},
        {"work_after_leaving_ms",
         std::chrono::duration<double, std::milli>(workAfterLeaving).count()},
    };
}

} // namespace waxwing
