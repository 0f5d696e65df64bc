#include "entry/tuning_settings.h"

namespace waxwing {
namespace {

/// Accepted range of durations. The upper bound of an hour catches values in a wrong unit.
constexpr number_range<std::uint64_t> milliseconds{1, 3600000};
constexpr number_range<std::uint64_t> millisecondsOrNone{0, 3600000};
constexpr number_range<double> share{0, 1};
constexpr number_range<std::uint32_t> number{1, 1000000};
constexpr number_range<std::size_t> amount{1, 10000000};

void readRouting(settings_section section, routing_settings &target)
{
    section.read("holder_share", target.holderShare, share);
    section.read("connection_share", target.connectionShare, share);
    section.finish();
}

void readMembership(settings_section section, membership_settings &target)
{
    section.read("probe_period_ms", target.probePeriod, milliseconds);
    section.read("probe_timeout_ms", target.probeTimeout, milliseconds);
    section.read("indirect_probes", target.indirectProbes, number_range<std::uint32_t>{0, 100});
    section.read("suspicion_time_ms", target.suspicionTime, milliseconds);
    section.read("dead_memory_min", target.deadMemory, number_range<std::uint64_t>{1, 1440});
    // The protocol bounds datagrams at 1,200 bytes; smaller ones suit links with a smaller MTU.
    section.read("datagram_bytes", target.datagramBytes, number_range<std::size_t>{512, 1200});
    section.finish();
}

void readDistribution(settings_section section, distribution_settings &target)
{
    section.read("watchers_per_zone", target.watchersPerZone, number);
    section.read("watch_time_ms", target.watchTimeout, milliseconds);
    section.read("retry_pause_ms", target.retryDelay, milliseconds);
    section.read("longest_pause_ms", target.maxRetryDelay, milliseconds);
    section.read("host_list_period_ms", target.hostListPeriod, milliseconds);
    section.finish();
}

void readBackends(settings_section section, backend_pool_settings &target)
{
    section.read("limit_decrease", target.limitDecrease, share);
    section.read("failures_to_eject", target.failuresToEject, number);
    section.read("first_ejection_ms", target.firstEjection, milliseconds);
    section.read("longest_ejection_ms", target.longestEjection, milliseconds);
    section.read("largest_ejected_share", target.maxEjectedShare, share);
    section.read("latency_smoothing", target.latencySmoothing, share);
    section.read("ramp_time_ms", target.rampTime, milliseconds);
    section.read("other_zone_factor", target.otherZoneFactor, number_range<double>{1, 100});
    section.read("assumed_latency_ms", target.assumedLatency, milliseconds);
    section.finish();
}

void readQueries(settings_section section, query_settings &target)
{
    section.read("merge_time_ms", target.mergeTime, millisecondsOrNone);
    section.read("hop_time_ms", target.hopTime, millisecondsOrNone);
    section.read("limit_pause_ms", target.limitPause, milliseconds);
    section.read("first_hedge_delay_ms", target.firstHedgeDelay, milliseconds);
    section.read("hedge_quantile", target.hedgeQuantile, share);
    section.read("budget_burst", target.budgetBurst, number_range<double>{0, 100000});
    section.read("quiet_canary_share", target.quietCanaryShare, share);
    section.read("alert_canary_share", target.alertCanaryShare, share);
    section.read("retry_after_ms", target.retryAfter, milliseconds);
    section.finish();
}

void readAdmission(settings_section section, admission_settings &target)
{
    section.read("always_admitted", target.alwaysAdmitted, amount);
    section.read("max_in_progress", target.maxInProgress, amount);
    section.read("wait_share", target.waitShare, share);
    section.read("smoothing", target.smoothing, share);
    section.finish();
}

void readQuarantine(settings_section section, quarantine_settings &target)
{
    section.read("crashes_to_list", target.crashesToList, number);
    section.read("listed_for_ms", target.listedFor, milliseconds);
    section.read("alert_time_ms", target.alertTime, milliseconds);
    section.read("burst_window_ms", target.burstWindow, milliseconds);
    section.read("max_suspects", target.maxSuspects, amount);
    section.finish();
}

void readHealth(settings_section section, health_poller_settings &target)
{
    section.read("period_ms", target.period, milliseconds);
    section.read("jitter", target.jitter, share);
    section.finish();
}

void readCommands(settings_section section, command_settings &target)
{
    section.read("max_in_progress", target.maxInProgress, amount);
    section.read("claim_timeout_ms", target.claimTimeout, milliseconds);
    section.read("retry_after_ms", target.retryAfter, milliseconds);
    section.finish();
}

} // namespace

void readTuning(settings_section section, entry_settings &target)
{
    readRouting(section.section("routing"), target.routing);
    readMembership(section.section("membership"), target.members);
    readDistribution(section.section("distribution"), target.configuration);
    readBackends(section.section("backends"), target.backends);
    readQueries(section.section("queries"), target.queries);
    readAdmission(section.section("admission"), target.admission);
    readQuarantine(section.section("quarantine"), target.quarantine);
    readHealth(section.section("health"), target.health);
    readCommands(section.section("commands"), target.commands);
    section.read("stop_notice_ms", target.stopNotice, millisecondsOrNone);
    section.read("stop_limit_ms", target.stopLimit, millisecondsOrNone);
    section.finish();
}

} // namespace waxwing
