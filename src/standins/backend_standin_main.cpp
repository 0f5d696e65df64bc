#include "standins/backend_fleet.h"
#include "standins/event_loop.h"
#include "standins/fleet_document.h"
#include "standins/standin_log.h"
#include "standins/text_file.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>

DEFINE_string(configuration, "", "Configuration document (JSON) with the backend servers.");
DEFINE_string(
    zones, "",
    "Availability zones whose servers are simulated, separated by commas; empty for all.");
DEFINE_string(control, "127.0.0.1:7100",
              "Address and port for /faults, /counters and /configuration.");
DEFINE_double(service_time_ms, 5, "Mean time that a slot needs for a request, in milliseconds.");
DEFINE_double(jitter, 0.5, "Largest deviation from the mean service time, as a share of it, 0..1.");
DEFINE_uint64(cold_ms, 3000, "Time after a start in which requests are slower, in milliseconds.");
DEFINE_double(cold_factor, 3, "Factor on the service time right after a start.");
DEFINE_uint64(queue_bound, 50, "Requests that wait for a slot of a server before it refuses more.");
DEFINE_double(connection_cost_ms, -1,
              "Delay of the first request on a connection, in milliseconds; -1 for 5 ms where a "
              "server takes at most 30 connections and 1 ms elsewhere.");
DEFINE_uint64(restart_ms, 3000, "Time between a crash and the restart, in milliseconds.");
DEFINE_uint64(retry_after_ms, 1000, "Retry-After of refusals, in milliseconds.");
DEFINE_string(poison_marker, "POISON",
              "Text in a query that makes a server crash; empty for none.");
DEFINE_uint64(seed, 1, "Seed of the random numbers.");

namespace waxwing::standins {
namespace {

std::chrono::microseconds fromMilliseconds(double value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(value));
}

absl::StatusOr<backend_fleet_settings> readSettings()
{
    if (FLAGS_jitter < 0 || FLAGS_jitter > 1 || FLAGS_service_time_ms < 0
        || (FLAGS_connection_cost_ms < 0 && FLAGS_connection_cost_ms != -1))
        return absl::InvalidArgumentError("--jitter must be in 0..1, and times 0 or more");
    backend_fleet_settings result;
    auto control = endpoint::parse(FLAGS_control);
    if (!control.ok())
        return control.status();
    result.control = *std::move(control);
    const std::vector<std::string> zones = absl::StrSplit(FLAGS_zones, ',', absl::SkipEmpty());
    for (const std::string &zone : zones)
        result.zones.insert({zone});
    simulated_backend_settings &server = result.server;
    server.serviceTime = fromMilliseconds(FLAGS_service_time_ms);
    server.jitter = FLAGS_jitter;
    server.coldTime = std::chrono::milliseconds(FLAGS_cold_ms);
    server.coldFactor = FLAGS_cold_factor;
    server.queueBound = FLAGS_queue_bound;
    if (FLAGS_connection_cost_ms >= 0)
        server.connectionCost = fromMilliseconds(FLAGS_connection_cost_ms);
    server.restartTime = std::chrono::milliseconds(FLAGS_restart_ms);
    server.retryAfter = std::chrono::milliseconds(FLAGS_retry_after_ms);
    server.poisonMarker = FLAGS_poison_marker;
    server.seed = FLAGS_seed;
    return result;
}

absl::Status run()
{
    const event_loop loop;
    const system_clock time;
    const auto settings = readSettings();
    if (!settings.ok())
        return settings.status();
    const auto text = readTextFile(FLAGS_configuration);
    if (!text.ok())
        return text.status();
    const auto document = parseFleetDocument(*text);
    if (!document.ok())
        return document.status();
    const auto fleet = backend_fleet::create(loop.base(), time, *settings, *document);
    if (!fleet.ok())
        return fleet.status();
    logEvent("listening",
             {{"control", (*fleet)->controlEndpoint().toString()}, {"servers", (*fleet)->size()}});
    loop.run();
    return absl::OkStatus();
}

} // namespace
} // namespace waxwing::standins

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Stand-in for the backend servers of a configuration document.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const absl::Status status = waxwing::standins::run();
    if (!status.ok())
        waxwing::standins::logEvent("cannot start", {{"error", status.ToString()}});
    return status.ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}
