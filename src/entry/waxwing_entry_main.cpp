#include "core/random_seed.h"
#include "entry/entry_process.h"
#include "settings/settings_file.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <google/protobuf/stubs/logging.h>

#include <csignal>

DEFINE_string(settings, "", "YAML file with the settings of this host (required)");
DEFINE_string(record_events, "", "file that every event is appended to as a JSON line");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

/// Exit code for invalid arguments or settings.
constexpr int usageError = 2;

int runHost(const waxwing::host_settings &settings)
{
    const waxwing::system_clock time;
    auto process = waxwing::entry_process::create(settings, FLAGS_record_events, time);
    if (!process.ok()) {
        fmt::print(stderr, "waxwing-entry: {}\n", std::string(process.status().message()));
        return 1;
    }
    (*process)->run(waxwing::drawSeed());
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs an entry host\n\n  waxwing-entry --settings FILE");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        fmt::print(stderr, "waxwing-entry: expected --settings FILE and no other arguments\n");
        return usageError;
    }
    const auto settings = waxwing::loadSettings<waxwing::host_settings>(FLAGS_settings);
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return usageError;
    }
    if (FLAGS_check)
        return 0;
    // Writes to closed connections report an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Malformed messages are counted; protobuf's log output would flood the log.
    google::protobuf::SetLogHandler(nullptr);
    return runHost(*settings);
}
