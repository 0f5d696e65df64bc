#include "console/console_pages.h"
#include "console/graceful_stop.h"
#include "settings/settings_file.h"
#include "telemetry/json_logger.h"

#include <event2/event.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "YAML file with the settings; see docs/operators.md.");
DEFINE_string(make_operator, "",
              "Reads a password from standard input, writes the line of this operator for the "
              "operators file and ends.");

namespace waxwing {
namespace {

/// Largest form, in bytes.
constexpr std::size_t maxFormBytes = 262'144;

struct event_base_deleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

absl::StatusOr<operator_list> readOperators(const std::string &path)
{
    const auto text = readSettingsFile(path);
    if (!text.ok())
        return text.status();
    auto operators = operator_list::parse(*text);
    if (!operators.ok())
        return absl::InvalidArgumentError(path + ": " + std::string(operators.status().message()));
    return operators;
}

absl::Status serve(const console_settings &settings, operator_list operators, logger &log)
{
    const system_clock time;
    const std::unique_ptr<event_base, event_base_deleter> base(event_base_new());
    console_pages pages(base.get(), time, settings, std::move(operators));
    http::server_settings limits;
    limits.listen = settings.listen;
    limits.maxBodyBytes = maxFormBytes;
    const auto server = http::server::create(
        base.get(), limits, [&pages](const http::request &message, http::responder to) {
            pages.handle(message, std::move(to));
        });
    if (!server.ok())
        return server.status();
    const graceful_stop stopping(base.get(), **server);
    log.write({log_level::Info, "listening", {{"address", (*server)->localEndpoint().toString()}}});
    event_base_dispatch(base.get());
    return absl::OkStatus();
}

absl::Status run(logger &log)
{
    const auto text = readSettingsFile(FLAGS_settings);
    if (!text.ok())
        return text.status();
    const auto settings = console_settings::parse(*text, FLAGS_settings);
    if (!settings.ok())
        return settings.status();
    auto operators = readOperators(settings->operatorsFile);
    if (!operators.ok())
        return operators.status();
    return serve(*settings, *std::move(operators), log);
}

int makeOperator()
{
    std::string password;
    std::getline(std::cin, password);
    if (password.empty() || FLAGS_make_operator.find(':') != std::string::npos) {
        std::cerr << "expected a password on standard input, and a name without colons\n";
        return EXIT_FAILURE;
    }
    std::cout << operator_list::makeLine(FLAGS_make_operator, password) << '\n';
    return EXIT_SUCCESS;
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("Console for operators of waxwingdyke: HTML forms.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!FLAGS_make_operator.empty())
        return waxwing::makeOperator();
    const waxwing::system_clock time;
    waxwing::json_logger log(time, {waxwing::log_level::Info, ""});
    const auto status = waxwing::run(log);
    if (!status.ok()) {
        log.write({waxwing::log_level::Error,
                   "cannot start",
                   {{"error", std::string(status.message())}}});
    }
    return status.ok() ? EXIT_SUCCESS : EXIT_FAILURE;
}
