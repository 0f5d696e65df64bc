#include "configuration/parse.h"
#include "core/clock.h"
#include "load/answer_checker.h"
#include "load/command_audit.h"
#include "load/load_runner.h"

#include <absl/strings/str_split.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

DEFINE_string(targets, "", "Caller ports of entry hosts, a.b.c.d:port, separated by commas.");
DEFINE_string(services, "",
              "Services to search, separated by commas; all of the configuration "
              "if empty.");
DEFINE_string(configuration, "", "Configuration document that the backend stand-in serves.");
DEFINE_string(backend_control, "",
              "Control port of the backend stand-in; its counters show "
              "commands that ran twice. Not asked if empty.");
DEFINE_uint32(searches, 200, "Searches to send, at most 1000000.");
DEFINE_uint32(commands, 1, "Commands to send, spread over the searches.");
DEFINE_double(rate, 50, "Searches per second, above 0, at most 100000.");
DEFINE_uint32(limit, 10, "Hits to ask for, 1 to 100.");
DEFINE_uint32(timeout_ms, 2000, "Milliseconds after which a request is given up.");
DEFINE_uint64(seed, 1, "Seed of the choice of targets and of idempotency keys.");

namespace {

using namespace waxwing;

constexpr int exitImperfect = 1;
constexpr int exitUsage = 2;
constexpr std::uint32_t mostSearches = 1'000'000;
constexpr double mostPerSecond = 100'000;

absl::StatusOr<configuration_copy> readConfiguration(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError("cannot read --configuration file '" + path + "'");
    std::stringstream text;
    text << file.rdbuf();
    return parseConfiguration(text.str());
}

absl::StatusOr<load_settings> settingsFromFlags(const configuration &document)
{
    load_settings settings;
    for (const auto &text : absl::StrSplit(FLAGS_targets, ',', absl::SkipEmpty())) {
        const auto target = endpoint::parse({text.data(), text.size()});
        if (!target.ok())
            return target.status();
        settings.targets.push_back(*target);
    }
    for (const auto &text : absl::StrSplit(FLAGS_services, ',', absl::SkipEmpty()))
        settings.services.push_back({std::string(text)});
    if (settings.services.empty()) {
        for (const auto &definition : document.services)
            settings.services.push_back(definition.id);
    }
    if (settings.targets.empty() || settings.services.empty())
        return absl::InvalidArgumentError("--targets and at least one service are needed");
    if (!(FLAGS_rate > 0 && FLAGS_rate <= mostPerSecond) || FLAGS_searches > mostSearches)
        return absl::InvalidArgumentError("--rate or --searches is out of range; see --help");
    settings.searches = FLAGS_searches;
    settings.commands = FLAGS_commands;
    settings.ratePerSecond = FLAGS_rate;
    settings.limit = FLAGS_limit;
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.seed = FLAGS_seed;
    return settings;
}

absl::StatusOr<load_report> runLoad()
{
    const auto document = readConfiguration(FLAGS_configuration);
    if (!document.ok())
        return document.status();
    const auto settings = settingsFromFlags(*document->document);
    if (!settings.ok())
        return settings.status();

    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    const waxwing::system_clock time;
    const answer_checker checker(*document->document);
    load_report report = load_runner(base.get(), *settings, checker, time).run();
    if (!FLAGS_backend_control.empty()) {
        const auto control = endpoint::parse(FLAGS_backend_control);
        if (!control.ok())
            return control.status();
        const auto doubled = countDoubledCommands(base.get(), *control);
        if (!doubled.ok())
            return doubled.status();
        report.doubled += *doubled;
    }
    return report;
}

} // namespace

/// Sends a fixed load, prints a table and one JSON line; exits with 0 only if every answer was
/// whole, right and from one snapshot, and every command ran once.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Sends searches and commands to entry hosts and checks every answer.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto report = runLoad();
    if (!report.ok()) {
        fmt::print(stderr, "waxwing-load: {}\n", std::string(report.status().message()));
        return exitUsage;
    }
    fmt::print("{}{}\n", report->toTable(), report->toJsonLine());
    return report->isPerfect() ? 0 : exitImperfect;
}
