#pragma once

#include "configuration/configuration.h"
#include "core/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// Service of a scenario; its shards are spread over servers of its own, zone by zone.
struct scenario_service
{
    /// Id; also the prefix of its servers, such as `catalogue-3`.
    std::string id;
    /// Shards.
    std::uint32_t shards = 4;
    /// Servers; shard i has its replicas on the servers i, i + 1, ...
    std::uint32_t servers = 4;
    /// Replicas of each shard.
    std::uint32_t replicas = 2;
    /// Documents of each shard at version 1; each later version adds one.
    std::uint64_t documents = 100;
    /// Slots of each server.
    std::uint32_t slots = 4;
    /// Connections that each server accepts.
    std::uint32_t connectionLimit = 100;
    /// Policy.
    service_policy policy;

    bool operator==(const scenario_service &) const = default;
};

/// Processes of a scenario and the times of its network.
struct scenario_cluster
{
    /// Availability zones.
    std::vector<std::string> zones{"a", "b", "c"};
    /// Entry hosts in each zone, named `ZONE1`, `ZONE2`, ...
    std::uint32_t hostsPerZone = 1;
    /// Services.
    std::vector<scenario_service> services;
    /// Time of a search on an idle server.
    duration serviceTime = std::chrono::milliseconds(3);
    /// One-way time within a zone.
    duration zoneLatency = std::chrono::microseconds(200);
    /// One-way time between zones.
    duration crossZoneLatency = std::chrono::microseconds(1500);
    /// One-way time to the platform.
    duration platformLatency = std::chrono::milliseconds(1);

    bool operator==(const scenario_cluster &) const = default;
};

/// What a step does.
enum class step_kind {
    /// Callers search.
    Search,
    /// Callers send a command.
    Command,
    /// Servers answer `factor` times slower, a share `share` of requests.
    Slow,
    /// Servers lose their connections and refuse new ones.
    Crash,
    /// Servers refuse all work as overloaded.
    Shed,
    /// Servers behave normally again.
    Repair,
    /// Servers build index version `version`; the oldest of three is dropped.
    Publish,
    /// Servers announce that they leave, and refuse new work as draining from then on.
    Drain,
    /// The list of hosts that the first entry host reads says that servers leave; the others read
    /// a list from before, and must learn it from their peers.
    Leave,
    /// Zones cannot reach other zones or the platform.
    Isolate,
    /// Zones are connected again.
    Heal,
    /// The platform refuses every call.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// The next `count` writes take effect but their answers are lost.
    LoseAnswers,
    /// Entry hosts are killed.
    Kill,
    /// Entry hosts start, with a new incarnation.
    Start,
    /// Entry hosts are asked to stop gracefully.
    Stop,
};

/// One line of the script.
struct scenario_step
{
    /// What is done.
    step_kind kind = step_kind::Search;
    /// When it is done first.
    duration at{0};
    /// Time between repetitions; zero for once.
    duration every{0};
    /// When it is done last.
    duration until{0};
    /// Servers, hosts or zones that it is done to, as names or prefixes ending in `*`; for searches
    /// and commands the entry hosts that are asked in turn.
    std::vector<std::string> targets;
    /// Service that is searched.
    std::string service;
    /// Query text; `poison` crashes each server that runs it. `%n` becomes the number of the
    /// request.
    std::string query = "query %n";
    /// `Idempotency-Key` of a command; `%n` becomes the number of the request.
    std::string key = "key-%n";
    /// Factor of `Slow`.
    double factor = 1;
    /// Share of requests for `Slow`, 0..1.
    double share = 1;
    /// Version of `Publish`.
    std::uint64_t version = 0;
    /// Count of `LoseAnswers`.
    std::uint32_t count = 1;

    bool operator==(const scenario_step &) const = default;
};

/// Bound on a measured value.
struct scenario_expectation
{
    /// Name of the value, see `scenario_metrics`.
    std::string metric;
    /// Smallest allowed value.
    std::optional<double> min;
    /// Largest allowed value.
    std::optional<double> max;

    bool operator==(const scenario_expectation &) const = default;
};

/// Script with its stated outcome, read from a YAML file.
struct scenario
{
    /// One line that says what is shown.
    std::string name;
    /// Seed of every random choice.
    std::uint64_t seed = 1;
    /// Time before the first step, in which hosts find each other; excluded from `at`.
    duration settle = std::chrono::seconds(5);
    /// Time after the last step.
    duration drain = std::chrono::seconds(2);
    /// Processes.
    scenario_cluster cluster;
    /// Script.
    std::vector<scenario_step> steps;
    /// Stated outcome.
    std::vector<scenario_expectation> expectations;

    bool operator==(const scenario &) const = default;

    /// Parses a script. Fails with InvalidArgument, naming the line and the field; unknown fields
    /// are refused.
    static absl::StatusOr<scenario> parse(std::string_view yaml);
};

} // namespace waxwing
