#include "relay_host/relay_host_settings.h"

#include "settings/settings_file.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <utility>

namespace waxwing::relay {
namespace {

void readListenAddresses(settings_section section, relay_host_settings::listen_addresses &target)
{
    section.require("callers", target.callers);
    section.require("ready", target.ready);
    section.require("metrics", target.metrics);
    section.require("gossip", target.gossip);
    section.finish();
}

void readMemory(settings_section section, memory_settings &target)
{
    using number = number_range<std::uint64_t>;
    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t mebibyte = 1024 * kibibyte;
    std::uint64_t limit = target.limit / mebibyte;
    std::uint64_t bufferedAnswer = target.bufferedAnswer / kibibyte;
    section.read("limit_mb", limit, number{32, 1U << 20U});
    section.read("buffered_answer_kb", bufferedAnswer, number{16, 1U << 16U});
    section.finish();
    target.limit = limit * mebibyte;
    target.bufferedAnswer = bufferedAnswer * kibibyte;
}

void readExtraBudget(settings_section section, extra_request_budget_settings &target)
{
    using share = number_range<double>;
    section.read("retry_share", target.share, share{0, 10});
    section.read("retry_base", target.base, share{0, 1e6});
    section.read("retry_window_ms", target.window, number_range<std::uint64_t>{100, 600000});
    section.finish();
}

void readQuotas(settings_section section, quota_settings &target)
{
    using number = number_range<double>;
    std::uint64_t window = 0;
    section.read("window_ms", window, number_range<std::uint64_t>{100, 600000});
    section.read("overage", target.overage, number{0, 10});
    section.read("slack", target.slack, number{0, 1e6});
    section.finish();
    if (window == 0)
        return;
    target.isEnabled = true;
    target.window = std::chrono::milliseconds(window);
}

void readShutdownTimes(settings_section section, relay_settings &target)
{
    using milliseconds = number_range<std::uint64_t>;
    section.read("notice_ms", target.stopNotice, milliseconds{0, 600000});
    section.read("limit_ms", target.stopLimit, milliseconds{0, 600000});
    section.finish();
}

void readEvacuations(settings_section section, relay_settings &target)
{
    section.read("watch", target.watchesEvacuations);
    section.finish();
}

void readBalancing(settings_section section, leaf_pool_settings &target)
{
    section.read("share_observations", target.sharesObservations);
    section.finish();
}

void readPolicy(settings_section section, relay_settings &target)
{
    policy_settings &policy = target.policy;
    section.read("delegate_fan_outs", target.coordinators.isEnabled);
    section.read("hedging", policy.hedging);
    section.read("needed_hedges", policy.neededHedges);
    section.read("limit_hedge_rate", target.hedges.isEnabled);
    section.read("deferred_parts", policy.deferredParts);
    section.read("extended_waits", policy.extendedWaits);
    section.read("partial_answers", policy.partialAnswers);
    section.read("pause_detection", target.leaves.leaves.detectsPauses);
    section.read("server_limits", target.leaves.leaves.limitsRequests);
    section.read("forwarding", policy.forwarding);
    section.read("timed_room", policy.timedRoom);
    section.finish();
}

void readHost(settings_section &root, relay_host_settings &target)
{
    root.require("host", target.reducerSettings.host.value);
    root.require("zone", target.reducerSettings.zone.value);
    std::map<std::string, std::string> regions;
    root.read("regions", regions);
    for (auto &[zone, region] : regions)
        target.reducerSettings.regions.emplace(zone_id{zone}, std::move(region));
    readListenAddresses(root.section("listen"), target.listen);
    root.require("store", target.store);
    root.read("seeds", target.seeds);
    // All hosts use the same gossip port. The configured seed address may contain the port of
    // another service.
    for (endpoint &seed : target.seeds)
        seed.port = target.listen.gossip.port;
    double linkMbps = 0;
    root.read("link_mbps", linkMbps, number_range<double>{0, 1e6});
    target.reducerSettings.linkMbps = static_cast<std::uint32_t>(std::lround(linkMbps));
    root.read("log_level", target.logLevel);
    readMemory(root.section("memory"), target.memory);
    readExtraBudget(root.section("shared"), target.reducerSettings.extras);
    readQuotas(root.section("quotas"), target.reducerSettings.quotas);
    readEvacuations(root.section("evacuations"), target.reducerSettings);
    readBalancing(root.section("balancing"), target.reducerSettings.leaves);
    readPolicy(root.section("policy"), target.reducerSettings);
    readShutdownTimes(root.section("stop"), target.reducerSettings);
}

} // namespace

absl::StatusOr<relay_host_settings> relay_host_settings::parse(const std::string &text,
                                                               const std::string &file)
{
    relay_host_settings result;
    const absl::Status status =
        parseSettings(text, file, [&result](settings_section &root) { readHost(root, result); });
    if (!status.ok())
        return status;
    return result;
}

} // namespace waxwing::relay
