#include "load/load_report.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

constexpr std::size_t maxProblems = 10;
constexpr int barWidth = 40;

double toMilliseconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Latencies in logarithmic classes, one text line each.
std::string formatHistogram(const std::vector<std::chrono::microseconds> &latencies)
{
    namespace bh = boost::histogram;
    constexpr int classes = 12;
    constexpr double lowestMs = 0.5;
    constexpr double highestMs = 2048;
    auto histogram = bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>(classes, lowestMs, highestMs));
    for (const auto latency : latencies)
        histogram(toMilliseconds(latency));

    auto range = bh::indexed(histogram, bh::coverage::all);
    double most = 1;
    for (auto &&cell : range)
        most = std::max(most, static_cast<double>(*cell));
    std::string text;
    for (auto &&cell : range) {
        const auto count = static_cast<double>(*cell);
        if (count == 0)
            continue;
        const int bar = static_cast<int>(std::ceil(barWidth * count / most));
        text += fmt::format("  {:>8.1f} ms .. {:>8.1f} ms  {:>7.0f}  {}\n", cell.bin(0).lower(),
                            cell.bin(0).upper(), count, std::string(bar, '#'));
    }
    return text;
}

} // namespace

void load_report::addProblem(std::string text)
{
    if (problems.size() < maxProblems)
        problems.push_back(std::move(text));
}

std::chrono::microseconds load_report::latencyQuantile(double quantile) const
{
    if (latencies.empty())
        return std::chrono::microseconds{0};
    auto sorted = latencies;
    const auto rank =
        static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
    const std::size_t index = rank == 0 ? 0 : rank - 1;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
}

bool load_report::isPerfect() const
{
    return answered == searches && partial == 0 && wrong == 0 && doubled == 0
        && commandsDone == commands;
}

std::string load_report::toTable() const
{
    std::string text;
    const auto row = [&text](std::string_view name, const auto &value) {
        text += fmt::format("{:<28}{:>12}\n", name, value);
    };
    row("searches", searches);
    row("  answered", answered);
    row("  refused", refused);
    row("  failed", failed);
    row("  partial answers", partial);
    row("  wrong answers", wrong);
    row("smallest coverage", fmt::format("{:.4f}", coverageMin));
    row("p50 latency, ms", fmt::format("{:.2f}", toMilliseconds(latencyQuantile(0.5))));
    row("p99 latency, ms", fmt::format("{:.2f}", toMilliseconds(latencyQuantile(0.99))));
    row("commands", commands);
    row("  done", commandsDone);
    row("  not run", commandsNotRun);
    row("  outcome unknown", commandsUnknown);
    row("doubled", doubled);
    text += "latency of answered searches:\n" + formatHistogram(latencies);
    for (const auto &problem : problems)
        text += "problem: " + problem + "\n";
    return text;
}

std::string load_report::toJsonLine() const
{
    return nlohmann::ordered_json{{"searches", searches},
                                  {"answered", answered},
                                  {"coverage_min", coverageMin},
                                  {"p50_ms", toMilliseconds(latencyQuantile(0.5))},
                                  {"p99_ms", toMilliseconds(latencyQuantile(0.99))},
                                  {"refused", refused},
                                  {"doubled", doubled},
                                  {"failed", failed},
                                  {"partial", partial},
                                  {"wrong", wrong},
                                  {"commands", commands},
                                  {"commands_done", commandsDone},
                                  {"commands_not_run", commandsNotRun},
                                  {"commands_unknown", commandsUnknown}}
        .dump();
}

} // namespace waxwing
