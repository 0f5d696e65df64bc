#include "bench/policy_bench.h"

#include "scenario/scenario.h"
#include "scenario/scenario_world.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace waxwing {
namespace {

/// Reads a scenario; the files are part of the sources, so that a bad one ends the program.
scenario readScenario(const scenario_folder &folder, std::string_view name)
{
    const std::string path = fmt::format("{}/{}.yaml", folder, name);
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    auto script = scenario::parse(text.str());
    if (!file || !script.ok()) {
        fmt::print(stderr, "cannot read scenario {}: {}\n", path, script.status().ToString());
        std::exit(2);
    }
    return *script;
}

std::map<std::string, double> runScenario(const scenario &script)
{
    return scenario_world(script).run().values();
}

/// The script without its steps of a kind.
scenario without(scenario script, step_kind kind)
{
    std::erase_if(script.steps, [kind](const scenario_step &step) { return step.kind == kind; });
    return script;
}

/// The script with its searches sent `factor` times as often.
scenario withLoad(scenario script, double factor)
{
    for (auto &step : script.steps) {
        if (step.kind == step_kind::Search)
            step.every = std::chrono::duration_cast<duration>(step.every / factor);
    }
    return script;
}

} // namespace

bench_results measureHedging(const scenario_folder &folder)
{
    const scenario script = readScenario(folder, "stragglers");
    scenario plain = script;
    plain.cluster.services.front().policy.hedgeBudget = 0;
    const auto baseline = runScenario(plain);
    const auto now = runScenario(script);

    constexpr double wantedRatio = 0.5;
    constexpr double extraWork = 1.05;
    constexpr double wholeShare = 0.999;
    return {
        bench_result::atMost("hedging", "p99 latency", "ms", baseline.at("p99_ms"),
                             now.at("p99_ms"), wantedRatio * baseline.at("p99_ms")),
        bench_result::atMost("hedging", "backend work per search", "searches",
                             baseline.at("leaf_work_per_search"), now.at("leaf_work_per_search"),
                             extraWork * baseline.at("leaf_work_per_search")),
        bench_result::atLeast("hedging", "answers with whole coverage", "share",
                              baseline.at("whole_share"), now.at("whole_share"), wholeShare),
    };
}

bench_results measureOverload(const scenario_folder &folder)
{
    const scenario script = readScenario(folder, "overload");
    double peak = 0;
    // The script sends twice what the servers can run; the peak is searched around half of it.
    for (const double factor : {0.35, 0.4, 0.45, 0.5})
        peak = std::max(peak, runScenario(withLoad(script, factor)).at("answered"));
    const auto now = runScenario(script);

    constexpr double wantedShare = 0.9;
    constexpr double refusalMs = 5;
    return {
        bench_result::atLeast("overload", "answers in time at twice the load", "searches", peak,
                              now.at("answered") - now.at("late"), wantedShare * peak),
        bench_result::atMost("overload", "median time to a refusal", "ms", std::nullopt,
                             now.at("refusal_p50_ms"), refusalMs),
        bench_result::atMost("overload", "refusals as not run that ran", "refusals", std::nullopt,
                             now.at("false_not_run"), 0),
    };
}

bench_results measureReplicaLoss(const scenario_folder &folder)
{
    const scenario script = readScenario(folder, "replica_lost");
    const auto baseline = runScenario(without(script, step_kind::Crash));
    const auto now = runScenario(script);

    constexpr double extraRequests = 1.1;
    return {
        bench_result::atMost("replica_loss", "backend requests per search", "requests",
                             baseline.at("leaf_searches_per_search"),
                             now.at("leaf_searches_per_search"),
                             extraRequests * baseline.at("leaf_searches_per_search")),
        bench_result::atMost("replica_loss", "searches lost or refused", "searches", std::nullopt,
                             now.at("lost") + now.at("refused"), 0),
    };
}

bench_results measureLeaving(const scenario_folder &folder)
{
    const auto now = runScenario(readScenario(folder, "leaving"));
    constexpr double limitMs = 3000;
    return {bench_result::atMost("leaving", "last new work after the first host knew", "ms",
                                 std::nullopt, now.at("work_after_leaving_ms"), limitMs)};
}

bench_results measurePoison(const scenario_folder &folder)
{
    const auto now = runScenario(readScenario(folder, "poison"));
    constexpr double mostCrashes = 3;
    return {bench_result::atMost("poison", "servers crashed by a request sent 20 times", "crashes",
                                 std::nullopt, now.at("crashes"), mostCrashes)};
}

} // namespace waxwing
