#include "relay/record_merge.h"
#include "relay/zone_latencies.h"
#include "relay_host/memory_settings.h"
#include "route_check/route_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;
using std::chrono::milliseconds;

/// Greatest number of records in an answer of a server that hosts accept. One shard may hold all
/// records of a merged answer.
constexpr std::size_t maxRecords = relay::memory_settings{}.bufferedAnswer / relay::recordBytes;

/// Longest time that a host of any zone needs for a round trip to the nearest zone of the region,
/// as hosts assume it before they have measured it. Zero if the region has no zone.
milliseconds roundTripTo(const std::string &region, const std::map<zone_id, std::string> &regions)
{
    duration longest{0};
    for (const auto &[own, ownRegion] : regions) {
        const relay::zone_latencies latencies(own, regions);
        std::optional<duration> shortest;
        for (const auto &[zone, zoneRegion] : regions) {
            if (zoneRegion == region)
                shortest = std::min(shortest.value_or(duration::max()), latencies.roundTrip(zone));
        }
        longest = std::max(longest, shortest.value_or(duration::zero()));
    }
    return std::chrono::ceil<milliseconds>(longest);
}

/// Region if all entries of the list are the same one.
const std::string *onlyRegion(const std::vector<std::string> &regions)
{
    const bool isOne = !regions.empty()
        && std::all_of(regions.begin(), regions.end(),
                       [&](const std::string &each) { return each == regions.front(); });
    return isOne ? &regions.front() : nullptr;
}

/// Round trips to each region. Computed once, since documents have thousands of routes.
std::map<std::string, milliseconds> roundTrips(const check_context &context)
{
    std::map<std::string, milliseconds> result;
    for (const auto &[zone, region] : *context.regions) {
        if (!result.contains(region))
            result.emplace(region, roundTripTo(region, *context.regions));
    }
    return result;
}

void checkRoundTrips(const relay::route_document &document, const check_context &context,
                     finding_list &findings)
{
    const std::map<std::string, milliseconds> times = roundTrips(context);
    const auto timeTo = [&](const std::string *region) {
        const auto found = region == nullptr ? times.end() : times.find(*region);
        return found == times.end() ? milliseconds(0) : found->second;
    };
    for (std::size_t i = 0; i < document.routes().size(); ++i) {
        const relay::route &subject = document.routes()[i];
        const std::string *region = onlyRegion(subject.allowedRegions);
        if (subject.callerTimeout < timeTo(region))
            findings.push_back(
                {finding_code::TimeoutBelowRoundTrip,
                 {document_section::Routes, i, document_field::CallerTimeout},
                 fmt::format("Route {} has a timeout of {} ms, less than a round trip of {} ms to "
                             "region {}, the only allowed one, from hosts of other regions.",
                             subject.name, subject.callerTimeout.count(), timeTo(region).count(),
                             *region)});
    }
    const std::vector<organisation> &organisations = document.organisations().all();
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        const std::string *region = onlyRegion(organisations[i].allowedRegions);
        const milliseconds roundTrip = timeTo(region);
        const auto tooShort =
            std::find_if(document.routes().begin(), document.routes().end(),
                         [&](const relay::route &each) { return each.callerTimeout < roundTrip; });
        if (tooShort != document.routes().end())
            findings.push_back(
                {finding_code::TimeoutBelowRoundTrip,
                 {document_section::Organisations, i, document_field::AllowedRegions},
                 fmt::format("Organisation {} allows only region {}, and the timeout of route {}, "
                             "{} ms, is less than a round trip of {} ms to it from hosts of other "
                             "regions.",
                             organisations[i].id.value, *region, tooShort->name,
                             tooShort->callerTimeout.count(), roundTrip.count())});
    }
}

void checkRoute(const relay::route &subject, std::size_t index, finding_list &findings)
{
    if (subject.callerTimeout < subject.latencyTarget)
        findings.push_back(
            {finding_code::TimeoutBelowTarget,
             {document_section::Routes, index, document_field::CallerTimeout},
             fmt::format("Route {} has a timeout of {} ms, less than its target latency of {} ms.",
                         subject.name, subject.callerTimeout.count(),
                         subject.latencyTarget.count())});
    if (subject.topRecords > maxRecords)
        findings.push_back(
            {finding_code::TooManyRecords,
             {document_section::Routes, index, document_field::TopRecords},
             fmt::format("Route {} asks for {} records; hosts accept at most {} of a server.",
                         subject.name, subject.topRecords, maxRecords)});
}

void checkQuota(const organisation &subject, std::size_t index, finding_list &findings)
{
    const auto report = [&](finding_code code, const std::string &reason) {
        findings.push_back({code,
                            {document_section::Organisations, index, document_field::Burst},
                            fmt::format("Organisation {} has {}.", subject.id.value, reason)});
    };
    if (subject.hasQuota() && subject.burst < 1)
        report(finding_code::BurstBelowOne,
               fmt::format("a rate of {} a second with a burst of {}, which is less than one "
                           "request",
                           subject.ratePerSecond, subject.burst));
    else if (!subject.hasQuota() && subject.burst > 0)
        report(finding_code::BurstWithoutRate,
               fmt::format("a burst of {} without a rate, so that it has no quota", subject.burst));
}

} // namespace

void checkLimits(const relay::route_document &document, const check_context &context,
                 finding_list &findings)
{
    for (std::size_t i = 0; i < document.routes().size(); ++i)
        checkRoute(document.routes()[i], i, findings);
    for (std::size_t i = 0; i < document.services().size(); ++i) {
        const relay::routed_service &service = document.services()[i];
        if (service.coldRatePerSecond > 0 && service.warmUp.count() == 0)
            findings.push_back(
                {finding_code::ColdRateWithoutWarmUp,
                 {document_section::Services, i, document_field::WarmUp},
                 fmt::format("Service {} has a rate for cold servers but no time for which a "
                             "restarted server is assumed to be cold.",
                             service.id.value)});
    }
    const std::vector<organisation> &organisations = document.organisations().all();
    for (std::size_t i = 0; i < organisations.size(); ++i)
        checkQuota(organisations[i], i, findings);
    const relay::caller_limits &limits = document.limits();
    if (limits.headerTimeout > limits.idleTimeout)
        findings.push_back({finding_code::HeaderTimeoutAboveIdleTimeout,
                            {document_section::Limits, std::nullopt, document_field::HeaderTimeout},
                            fmt::format("The time for a header, {} ms, is longer than the time for "
                                        "which a connection may be idle, {} ms.",
                                        limits.headerTimeout.count(), limits.idleTimeout.count())});
    if (context.regions.has_value())
        checkRoundTrips(document, context, findings);
}

} // namespace waxwing::route_check
