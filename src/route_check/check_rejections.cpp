#include "core/text.h"
#include "organisations/caller_authentication.h"
#include "route_check/route_checks.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;

void checkTargets(const relay::route &subject, std::size_t index, finding_list &findings)
{
    const auto report = [&](finding_code code, document_field field, std::string_view reason,
                            std::optional<std::size_t> element = std::nullopt) {
        findings.push_back({code,
                            {document_section::Routes, index, field, element},
                            fmt::format("Route {} {}.", subject.name, reason)});
    };
    if (subject.targets.empty() == subject.shards.empty())
        report(finding_code::InvalidRoute, document_field::None,
               "must have either targets or shards");
    double total = 0;
    for (std::size_t i = 0; i < subject.targets.size(); ++i) {
        total += subject.targets[i].weight;
        if (subject.targets[i].weight < 0)
            report(finding_code::InvalidRoute, document_field::Targets,
                   "has a target with a negative weight", i);
    }
    if (!subject.targets.empty() && total <= 0)
        report(finding_code::NoWeight, document_field::Targets,
               "has no target with a positive weight");
    std::set<service_id> seen;
    for (std::size_t i = 0; i < subject.shards.size(); ++i) {
        if (!seen.insert(subject.shards[i]).second)
            report(finding_code::InvalidRoute, document_field::Shards,
                   fmt::format("lists shard {} more than once", subject.shards[i].value), i);
    }
    if (subject.isFanOut() && (subject.minCoverage < 0 || subject.minCoverage > 1))
        report(finding_code::InvalidCoverage, document_field::MinCoverage,
               fmt::format("has a minimum coverage of {}, which is outside 0 to 1",
                           subject.minCoverage));
}

void checkRoute(const relay::route &subject, std::size_t index, finding_list &findings)
{
    const auto report = [&](document_field field, std::string_view reason) {
        findings.push_back({finding_code::InvalidRoute,
                            {document_section::Routes, index, field},
                            fmt::format("Route {} {}.", subject.name, reason)});
    };
    if (!subject.prefix.starts_with('/') || !subject.prefix.ends_with('/'))
        report(document_field::Prefix,
               "has a path prefix that does not begin and end with a slash");
    if (subject.hostName.empty() || subject.hostName.front() == ':')
        report(document_field::HostName, "has no host name");
    if (subject.callerTimeout.count() <= 0)
        report(document_field::CallerTimeout, "has a timeout that is not positive");
    if (subject.latencyTarget.count() <= 0)
        report(document_field::LatencyTarget, "has a target latency that is not positive");
    if (subject.attempts == 0)
        report(document_field::Attempts, "has 0 attempts, expected at least 1");
    checkTargets(subject, index, findings);
}

void checkOrganisation(const organisation &subject, std::size_t index, finding_list &findings)
{
    const auto report = [&](document_field field, std::string_view reason,
                            std::optional<std::size_t> element = std::nullopt) {
        findings.push_back({finding_code::InvalidOrganisation,
                            {document_section::Organisations, index, field, element},
                            fmt::format("Organisation {} {}.", subject.id.value, reason)});
    };
    const std::string &name = subject.id.value;
    if (name.empty())
        report(document_field::Name, "has no name");
    if (std::any_of(name.begin(), name.end(),
                    [](char c) { return absl::ascii_iscntrl(static_cast<unsigned char>(c)); }))
        report(document_field::Name, "has a control character in its name");
    if (!(subject.ratePerSecond >= 0))
        report(document_field::Rate, "has a negative rate");
    if (!(subject.burst >= 0))
        report(document_field::Burst, "has a negative burst");
    for (std::size_t i = 0; i < subject.keys.size(); ++i) {
        if (subject.keys[i].empty())
            report(document_field::Keys, "has an empty key", i);
    }
}

void checkKeys(const std::vector<organisation> &organisations, finding_list &findings)
{
    std::unordered_map<std::string_view, std::size_t> owners;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        const organisation &each = organisations[i];
        for (std::size_t k = 0; k < each.keys.size(); ++k) {
            if (each.keys[k].empty())
                continue;
            const auto [first, isNew] = owners.emplace(each.keys[k], i);
            if (!isNew)
                findings.push_back(
                    {finding_code::DuplicateKey,
                     {document_section::Organisations, i, document_field::Keys, k},
                     fmt::format("Key {} of organisation {} already belongs to organisation {}.",
                                 keyDigest(each.keys[k]), each.id.value,
                                 organisations[first->second].id.value)});
        }
    }
}

} // namespace

std::vector<finding> findRejections(const std::vector<relay::route> &routes,
                                    const std::vector<organisation> &organisations)
{
    finding_list result;
    std::unordered_map<std::string, std::size_t> places;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const relay::route &each = routes[i];
        checkRoute(each, i, result);
        // Hosts compare host names without case and port, joined with the prefix.
        const std::string hostName = lowerCase(each.hostName.substr(0, each.hostName.find(':')));
        const auto [first, isNew] = places.emplace(hostName + each.prefix, i);
        if (!isNew)
            result.push_back(
                {finding_code::DuplicateRoute,
                 {document_section::Routes, i, document_field::Prefix},
                 fmt::format("Route {} has the same host name and path prefix as route {}.",
                             each.name, routes[first->second].name)});
    }
    std::set<organisation_id> names;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        checkOrganisation(organisations[i], i, result);
        const organisation_id &id = organisations[i].id;
        if (!id.value.empty() && !names.insert(id).second)
            result.push_back({finding_code::DuplicateName,
                              {document_section::Organisations, i, document_field::Name},
                              fmt::format("Two organisations are named {}.", id.value)});
    }
    checkKeys(organisations, result);
    return result;
}

} // namespace waxwing::route_check
