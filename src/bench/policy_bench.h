#pragma once

#include "bench/bench_result.h"

#include <string>
#include <string_view>

namespace waxwing {

/// Folder of scenario files that the policy measurements are made with.
using scenario_folder = std::string;

/// Stragglers: hedging against the same policy without it.
bench_results measureHedging(const scenario_folder &folder);
/// Overload: useful answers at twice the load against the load that the servers can carry.
bench_results measureOverload(const scenario_folder &folder);
/// Lost replicas: backend requests of a search against those of a healthy system.
bench_results measureReplicaLoss(const scenario_folder &folder);
/// A leaving server: time until no host sends it new work.
bench_results measureLeaving(const scenario_folder &folder);
/// A request that crashes its servers: crashes in all.
bench_results measurePoison(const scenario_folder &folder);

} // namespace waxwing
