#include "ctl/ctl_commands.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <event2/event.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

DEFINE_string(platform, "127.0.0.1:7000", "Address of the platform's object API.");
DEFINE_string(entry_hosts, "", "Admin endpoints of the entry hosts, separated by commas.");
DEFINE_uint64(timeout_ms, 2000, "Time for one call, in milliseconds.");
DEFINE_string(changed_by, "", "Operator who makes the change (default: environment USER).");
DEFINE_string(reason, "", "Why the change is made (apply, drain).");
DEFINE_string(at, "", "When the backend server leaves, such as 2027-03-31T22:00:00Z (drain).");
DEFINE_bool(allow_uncovered, false,
            "Permit the change to leave shards without a replica before the shutdown.");
DEFINE_string(change_id, "", "Id of a change whose outcome was unknown, to send it again.");
DEFINE_uint64(revision, 0, "Earlier revision to show; 0 for the current one (show).");

namespace GFLAGS_NAMESPACE {
// Declared by gflags for its own tests only; ends the process after a wrong flag or --help.
extern void (*gflags_exitfunc)(int); // NOLINT(readability-identifier-naming)
} // namespace GFLAGS_NAMESPACE

namespace waxwing {
namespace {

constexpr const char *usage =
    R"(Shows and changes the configuration of waxwingdyke.

  waxwingctl show [--revision=N]              writes the current or an earlier document
  waxwingctl check FILE                       checks a document, sends nothing
  waxwingctl apply FILE --reason=TEXT         replaces the document that FILE was made from
  waxwingctl drain SERVER --at=TIME --reason=TEXT   sets when a backend server leaves
  waxwingctl status --entry_hosts=LIST        shows which revision entry hosts run
  waxwingctl restore --entry_hosts=LIST       sends the newest revision of the hosts again

Exit codes: 0 done, 1 refused, conflict or not in force everywhere, 2 usage,
3 platform or entry hosts not reachable, or outcome not known.)";

struct event_base_deleter
{
    void operator()(event_base *base) const { event_base_free(base); }
};

exit_code usageError(const std::string &message)
{
    std::cerr << message << "\n'waxwingctl --help' shows all commands\n";
    return exit_code::Usage;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Settings from the flags; empty if an address is malformed.
std::optional<ctl_settings> readFlags()
{
    ctl_settings result;
    const auto platform = endpoint::parse(FLAGS_platform);
    if (!platform.ok())
        return std::nullopt;
    result.platform = {*platform, std::chrono::milliseconds(FLAGS_timeout_ms)};
    result.hosts.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    const std::vector<std::string> hosts =
        absl::StrSplit(FLAGS_entry_hosts, ',', absl::SkipEmpty());
    for (const auto &text : hosts) {
        const auto host = endpoint::parse(text);
        if (!host.ok())
            return std::nullopt;
        result.hosts.hosts.push_back(*host);
    }
    const char *user = std::getenv("USER");
    result.changedBy = FLAGS_changed_by.empty() && user != nullptr ? user : FLAGS_changed_by;
    result.reason = FLAGS_reason;
    result.changeId = FLAGS_change_id;
    result.allowUncovered = FLAGS_allow_uncovered;
    return result;
}

exit_code runFileCommand(ctl_commands &commands, const std::string &command,
                         const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return usageError(path + ": cannot be opened");
    return command == "check" ? commands.check(*text) : commands.apply(*text);
}

exit_code runCommand(const std::vector<std::string> &arguments)
{
    const auto settings = readFlags();
    if (!settings)
        return usageError("--platform and --entry_hosts take addresses a.b.c.d:port");
    const std::unique_ptr<event_base, event_base_deleter> base(event_base_new());
    ctl_commands commands(base.get(), *settings, std::cout, std::cerr);

    const auto command = arguments.empty() ? "" : arguments[0];
    const auto operands = arguments.size() - (arguments.empty() ? 0 : 1);
    if (command == "show" && operands == 0)
        return commands.show(FLAGS_revision == 0 ? std::nullopt : std::optional(FLAGS_revision));
    if ((command == "check" || command == "apply") && operands == 1)
        return runFileCommand(commands, command, arguments[1]);
    if (command == "drain" && operands == 1)
        return commands.drain(arguments[1], FLAGS_at);
    if ((command == "status" || command == "restore") && operands == 0) {
        if (settings->hosts.hosts.empty())
            return usageError("--entry_hosts is required: which entry hosts are asked?");
        return command == "status" ? commands.status() : commands.restore();
    }
    return usageError(command.empty() ? "a command is required"
                                      : "unknown command or wrong operands: " + command);
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(waxwing::usage);
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int) {
        std::exit(static_cast<int>(waxwing::exit_code::Usage));
    };
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int) { std::exit(EXIT_SUCCESS); };
    gflags::HandleCommandLineHelpFlags();
    return static_cast<int>(waxwing::runCommand({argv + 1, argv + argc}));
}
