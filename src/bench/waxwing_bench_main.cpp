#include "bench/connections_bench.h"
#include "bench/policy_bench.h"
#include "bench/slopes_bench.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(scenarios, "tests/scenarios", "Folder of the scenario files.");

namespace {

using namespace waxwing;

/// Measurement that can be named on the command line.
struct measurement
{
    std::string name;
    std::function<bench_results()> run;
};

std::vector<measurement> allMeasurements()
{
    const auto policy = [](bench_results (*measure)(const scenario_folder &)) {
        return [measure] { return measure(FLAGS_scenarios); };
    };
    return {
        {"hedging", policy(&measureHedging)},
        {"overload", policy(&measureOverload)},
        {"replica_loss", policy(&measureReplicaLoss)},
        {"leaving", policy(&measureLeaving)},
        {"poison", policy(&measurePoison)},
        {"slopes", &measureSlopes},
        {"connections", &measureConnections},
    };
}

bool isWanted(const std::string &name, int argc, char **argv)
{
    return argc < 2 || std::find(argv + 1, argv + argc, name) != argv + argc;
}

} // namespace

/// Prints one JSON line for each figure; exits with 1 if a target is not met.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "Measures waxwingdyke; one JSON line for each figure.\n"
        "usage: waxwing-bench [--scenarios DIR] [NAME...]\n"
        "names: hedging overload replica_loss leaving poison slopes connections");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bool isMet = true;
    bool hasRun = false;
    for (const auto &[name, run] : allMeasurements()) {
        if (!isWanted(name, argc, argv))
            continue;
        hasRun = true;
        for (const auto &result : run()) {
            fmt::print("{}\n", result.toJsonLine());
            std::fflush(stdout);
            isMet = isMet && result.met;
        }
    }
    if (!hasRun) {
        fmt::print(stderr, "no measurement of this name; see --help\n");
        return 2;
    }
    return isMet ? 0 : 1;
}
