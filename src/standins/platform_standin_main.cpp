#include "standins/event_loop.h"
#include "standins/json_fields.h"
#include "standins/platform_standin.h"
#include "standins/standin_log.h"
#include "standins/text_file.h"

#include <gflags/gflags.h>

#include <cstdlib>

DEFINE_string(listen, "127.0.0.1:7000",
              "Address and port of the platform API and of the control paths.");
DEFINE_string(hosts, "", "JSON file with the first host list, as PUT /hosts takes it.");
DEFINE_uint64(host_list_lag_ms, 0,
              "Time by which GET /hosts lags, in milliseconds; POST /faults changes it.");

namespace waxwing::standins {
namespace {

absl::Status loadHosts(platform_standin &platform)
{
    if (FLAGS_hosts.empty())
        return absl::OkStatus();
    const auto text = readTextFile(FLAGS_hosts);
    if (!text.ok())
        return text.status();
    auto document = parseObject(*text);
    return document.ok() ? platform.setHosts(*std::move(document)) : document.status();
}

absl::Status run()
{
    const event_loop loop;
    const system_clock time;
    platform_standin_settings settings;
    settings.faults.hostListLagMs = FLAGS_host_list_lag_ms;
    auto listen = endpoint::parse(FLAGS_listen);
    if (!listen.ok())
        return listen.status();
    settings.listen = *std::move(listen);
    const auto platform = platform_standin::create(loop.base(), time, settings);
    if (!platform.ok())
        return platform.status();
    if (absl::Status status = loadHosts(**platform); !status.ok())
        return status;
    logEvent("listening", {{"address", (*platform)->localEndpoint().toString()}});
    loop.run();
    return absl::OkStatus();
}

} // namespace
} // namespace waxwing::standins

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Stand-in for the platform's object API and host list.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const absl::Status status = waxwing::standins::run();
    if (!status.ok())
        waxwing::standins::logEvent("cannot start", {{"error", status.ToString()}});
    return status.ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}
