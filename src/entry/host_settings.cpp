#include "entry/host_settings.h"

#include "entry/tuning_settings.h"
#include "settings/settings_file.h"

namespace waxwing {
namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

void readListen(settings_section section, listen_settings &target)
{
    section.require("callers", target.callers);
    section.require("admin", target.admin);
    section.require("peer", target.peer);
    section.require("gossip", target.gossip);
    section.finish();
}

void readSeeds(settings_section section, host_settings &target)
{
    section.read("gossip", target.gossipSeeds);
    section.read("peer", target.peerSeeds);
    section.finish();
}

void readCallerLimits(settings_section section, http::server_settings &target)
{
    using bytes = number_range<std::size_t>;
    section.read("body_bytes", target.maxBodyBytes, bytes{1024, megabyte});
    section.read("header_bytes", target.maxHeaderBytes, bytes{1024, megabyte});
    section.read("idle_s", target.idleTimeout, number_range<std::uint64_t>{1, 3600});
    section.finish();
}

void readClientLimits(settings_section section, http::client_settings &target)
{
    using number = number_range<std::size_t>;
    section.read("body_bytes", target.maxBodyBytes, number{1024, 64 * megabyte});
    section.read("connect_timeout_ms", target.connectTimeout,
                 number_range<std::uint64_t>{1, 60000});
    section.read("connections", target.connectionsPerEndpoint, number{1, 10000});
    section.read("idle_s", target.idleTimeout, number_range<std::uint64_t>{1, 3600});
    section.finish();
}

void readPeerLimits(settings_section section, peer_limits &target)
{
    using number = number_range<std::uint32_t>;
    using milliseconds = number_range<std::uint64_t>;
    using bytes = number_range<std::size_t>;
    section.read("memory_bytes", target.memoryBytes, bytes{4 * megabyte, 1024 * megabyte});
    section.read("threads", target.threads, number{1, 64});
    section.read("message_bytes", target.messageBytes, bytes{megabyte / 16, 64 * megabyte});
    section.read("calls_per_peer", target.callsPerPeer, number{1, 100000});
    section.read("channels", target.channels, number{1, 10000});
    section.read("state_timeout_ms", target.stateTimeout, milliseconds{10, 60000});
    section.read("forward_margin_ms", target.forwardMargin, milliseconds{0, 10000});
    section.finish();
}

void readLimits(settings_section section, host_settings &target)
{
    readCallerLimits(section.section("callers"), target.callers);
    readClientLimits(section.section("backends"), target.backends);
    readClientLimits(section.section("platform"), target.platformClient);
    readPeerLimits(section.section("peers"), target.peers);
    section.finish();
}

void readHost(settings_section &root, host_settings &target)
{
    root.require("host", target.host.value);
    root.require("zone", target.state.zone.value);
    readListen(root.section("listen"), target.listen);
    readSeeds(root.section("seeds"), target);
    root.require("platform", target.platform);
    root.read("log_level", target.logLevel);
    root.read("spans_file", target.spansFile);
    readLimits(root.section("limits"), target);
    readTuning(root.section("tuning"), target.state);
    target.callers.listen = target.listen.callers;
}

} // namespace

absl::StatusOr<host_settings> host_settings::parse(const std::string &text, const std::string &file)
{
    host_settings result;
    const absl::Status status =
        parseSettings(text, file, [&result](settings_section &root) { readHost(root, result); });
    if (!status.ok())
        return status;
    return result;
}

} // namespace waxwing
