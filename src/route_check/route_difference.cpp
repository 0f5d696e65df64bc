#include "route_check/route_difference.h"

#include "organisations/caller_authentication.h"
#include "route_check/change_text.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;

const std::string &nameOf(const relay::route &subject)
{
    return subject.name;
}
const std::string &nameOf(const relay::routed_service &subject)
{
    return subject.id.value;
}
const std::string &nameOf(const organisation &subject)
{
    return subject.id.value;
}

/// How entries of one kind are reported.
struct entry_kind
{
    document_section section;
    /// Begins a sentence.
    std::string_view title;
    finding_code added;
    finding_code removed;
};

/// Reports entries that were added or removed, by name, and calls `compare(before, after, index)`
/// with the others.
template<typename Entry, typename Comparison>
void compareEntries(const std::vector<Entry> &before, const std::vector<Entry> &after,
                    const entry_kind &kind, finding_list &findings, Comparison compare)
{
    std::unordered_map<std::string_view, const Entry *> known;
    for (const Entry &each : before)
        known.emplace(nameOf(each), &each);
    std::set<std::string_view> kept;
    for (std::size_t i = 0; i < after.size(); ++i) {
        const std::string &name = nameOf(after[i]);
        kept.insert(name);
        const auto found = known.find(name);
        if (found != known.end())
            compare(*found->second, after[i], i);
        else
            findings.push_back(
                {kind.added, {kind.section, i}, fmt::format("{} {} is added.", kind.title, name)});
    }
    for (const Entry &each : before) {
        if (!kept.contains(nameOf(each)))
            findings.push_back({kind.removed,
                                {kind.section},
                                fmt::format("{} {} is removed.", kind.title, nameOf(each))});
    }
}

std::vector<std::string> shardNames(const relay::route &subject)
{
    std::vector<std::string> result;
    for (const service_id &shard : subject.shards)
        result.push_back(shard.value);
    return result;
}

std::vector<std::string> targetTexts(const relay::route &subject)
{
    std::vector<std::string> result;
    for (const relay::weighted_service &target : subject.targets)
        result.push_back(fmt::format("{}:{}", target.service.value, target.weight));
    return result;
}

std::string_view yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

change_text changesOf(const relay::route &before, const relay::route &after)
{
    const auto type = [](const relay::route &subject) {
        return subject.semantics == relay::execution_semantics::Idempotent ? "idempotent"
                                                                           : "non-idempotent";
    };
    change_text result;
    result.add("host name", before.hostName, after.hostName);
    result.add("path prefix", before.prefix, after.prefix);
    result.add("type", std::string_view(type(before)), std::string_view(type(after)));
    result.add("timeout", before.callerTimeout.count(), after.callerTimeout.count(), " ms");
    result.add("target latency", before.latencyTarget.count(), after.latencyTarget.count(), " ms");
    result.add("attempts", before.attempts, after.attempts);
    result.add("priority", before.rank, after.rank);
    result.addList("targets", targetTexts(before), targetTexts(after));
    result.addList("shards", shardNames(before), shardNames(after));
    result.add("records", before.topRecords, after.topRecords);
    result.add("minimum coverage", before.minCoverage, after.minCoverage);
    result.add("public", yesOrNo(before.isPublic), yesOrNo(after.isPublic));
    result.addList("allowed regions", before.allowedRegions, after.allowedRegions);
    return result;
}

change_text changesOf(const relay::routed_service &before, const relay::routed_service &after)
{
    change_text result;
    result.add("connections", before.connectionLimit, after.connectionLimit);
    result.add("rate of cold servers", before.coldRatePerSecond, after.coldRatePerSecond, "/s");
    result.add("time to warm up", before.warmUp.count(), after.warmUp.count(), " ms");
    return result;
}

change_text changesOf(const relay::caller_limits &before, const relay::caller_limits &after)
{
    change_text result;
    result.add("header size", before.headerBytes, after.headerBytes, " bytes");
    result.add("body size", before.bodyBytes, after.bodyBytes, " bytes");
    result.add("time for a header", before.headerTimeout.count(), after.headerTimeout.count(),
               " ms");
    result.add("idle time", before.idleTimeout.count(), after.idleTimeout.count(), " ms");
    return result;
}

std::string quotaText(const organisation &subject)
{
    return subject.hasQuota()
        ? fmt::format("{}/s with burst {}", subject.ratePerSecond, subject.burst)
        : "no limit";
}

void compareOrganisations(const organisation &before, const organisation &after, std::size_t index,
                          finding_list &findings)
{
    const auto report = [&](finding_code code, document_field field, const change_text &changes) {
        if (!changes.isEmpty())
            findings.push_back(
                {code,
                 {document_section::Organisations, index, field},
                 fmt::format("Organisation {} changes: {}.", after.id.value, changes.text())});
    };
    change_text quota;
    quota.add("quota", quotaText(before), quotaText(after));
    report(finding_code::QuotaChanged, document_field::Rate, quota);
    change_text others;
    others.add("priority", before.rank, after.rank);
    others.addList("allowed regions", before.allowedRegions, after.allowedRegions);
    report(finding_code::OrganisationChanged, document_field::None, others);
}

/// Reports keys of `after` that `before` does not have, and the other way round. Either may be
/// null, for an organisation that was added or removed. `directory` is that of the new document.
void compareKeys(const organisation *before, const organisation *after,
                 std::optional<std::size_t> index, const organisation_directory &directory,
                 finding_list &findings)
{
    static const std::vector<std::string> none;
    const std::vector<std::string> &earlier = before == nullptr ? none : before->keys;
    const std::vector<std::string> &later = after == nullptr ? none : after->keys;
    const std::string &name = after == nullptr ? before->id.value : after->id.value;
    const std::set<std::string_view> earlierKeys(earlier.begin(), earlier.end());
    const std::set<std::string_view> laterKeys(later.begin(), later.end());
    for (std::size_t i = 0; i < later.size(); ++i) {
        if (!earlierKeys.contains(later[i]))
            findings.push_back(
                {finding_code::KeyAdded,
                 {document_section::Organisations, index, document_field::Keys, i},
                 fmt::format("Key {} is added to organisation {}.", keyDigest(later[i]), name)});
    }
    const finding_place place{document_section::Organisations, index,
                              index.has_value() ? document_field::Keys : document_field::None};
    std::size_t withdrawn = 0;
    std::size_t refused = 0;
    for (const std::string &key : earlier) {
        if (laterKeys.contains(key))
            continue;
        ++withdrawn;
        const organisation *owner = directory.findByKey(key);
        // Without organisations, hosts check no keys.
        if (owner == nullptr && !directory.isEmpty())
            ++refused;
        const std::string target =
            owner == nullptr ? "is withdrawn" : "moves to organisation " + owner->id.value;
        findings.push_back(
            {finding_code::KeyRemoved, place,
             fmt::format("Key {} of organisation {} {}.", keyDigest(key), name, target)});
    }
    if (withdrawn == earlier.size() && refused > 0)
        findings.push_back(
            {finding_code::NoKeyKept, place,
             fmt::format("Organisation {} keeps no key that is in force; callers that use the "
                         "withdrawn ones ({}) are refused with 401.",
                         name, refused)});
}

void compareAllOrganisations(const relay::route_document &inForce,
                             const relay::route_document &document, finding_list &findings)
{
    const std::vector<organisation> &before = inForce.organisations().all();
    const std::vector<organisation> &after = document.organisations().all();
    compareEntries(before, after,
                   {document_section::Organisations, "Organisation",
                    finding_code::OrganisationAdded, finding_code::OrganisationRemoved},
                   findings,
                   [&](const organisation &left, const organisation &right, std::size_t index) {
                       compareOrganisations(left, right, index, findings);
                   });
    std::map<std::string_view, const organisation *> earlier;
    for (const organisation &each : before)
        earlier.emplace(nameOf(each), &each);
    for (std::size_t i = 0; i < after.size(); ++i) {
        const auto found = earlier.find(nameOf(after[i]));
        compareKeys(found == earlier.end() ? nullptr : found->second, &after[i], i,
                    document.organisations(), findings);
        if (found != earlier.end())
            earlier.erase(found);
    }
    for (const auto &[name, removed] : earlier)
        compareKeys(removed, nullptr, std::nullopt, document.organisations(), findings);
    if (!inForce.organisations().isEmpty() && document.organisations().isEmpty())
        findings.push_back({finding_code::KeysNoLongerChecked,
                            {document_section::Organisations},
                            "The document names no organisations any more, so that hosts accept "
                            "requests without a key."});
}

} // namespace

std::vector<finding> compareRoutes(const relay::route_document &inForce,
                                   const relay::route_document &document)
{
    finding_list result;
    if (document.version() <= inForce.version())
        result.push_back({finding_code::VersionNotHigher,
                          {document_section::Version},
                          fmt::format("Version {} is not higher than version {} in force, which "
                                      "hosts keep.",
                                      document.version(), inForce.version())});
    const auto reportChanges = [&](finding_code code, const finding_place &place,
                                   const std::string &title, const change_text &changes) {
        if (!changes.isEmpty())
            result.push_back({code, place, fmt::format("{}: {}.", title, changes.text())});
    };
    compareEntries(
        inForce.routes(), document.routes(),
        {document_section::Routes, "Route", finding_code::RouteAdded, finding_code::RouteRemoved},
        result, [&](const relay::route &before, const relay::route &after, std::size_t index) {
            reportChanges(finding_code::RouteChanged, {document_section::Routes, index},
                          "Route " + after.name + " changes", changesOf(before, after));
        });
    compareEntries(inForce.services(), document.services(),
                   {document_section::Services, "Service", finding_code::ServiceAdded,
                    finding_code::ServiceRemoved},
                   result,
                   [&](const relay::routed_service &before, const relay::routed_service &after,
                       std::size_t index) {
                       reportChanges(
                           finding_code::ServiceChanged, {document_section::Services, index},
                           "Service " + after.id.value + " changes", changesOf(before, after));
                   });
    compareAllOrganisations(inForce, document, result);
    reportChanges(finding_code::LimitsChanged, {document_section::Limits}, "Limits change",
                  changesOf(inForce.limits(), document.limits()));
    std::stable_sort(result.begin(), result.end(), [](const finding &left, const finding &right) {
        return left.severity() < right.severity();
    });
    return result;
}

} // namespace waxwing::route_check
