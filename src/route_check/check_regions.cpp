#include "route_check/route_checks.h"
#include "route_check/route_services.h"
#include "route_check/server_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;

/// Entry of a document that lists allowed regions.
struct restricted_entry
{
    document_section section;
    std::size_t index;
    /// Begins a sentence, such as `Route r-all`.
    std::string title;
    const std::vector<std::string> &regions;

    finding_place place(std::optional<std::size_t> element = std::nullopt) const
    {
        return {section, index, document_field::AllowedRegions, element};
    }
};

/// Routes and organisations with allowed regions.
std::vector<restricted_entry> restrictedEntries(const relay::route_document &document)
{
    std::vector<restricted_entry> result;
    for (std::size_t i = 0; i < document.routes().size(); ++i) {
        const relay::route &each = document.routes()[i];
        if (!each.allowedRegions.empty())
            result.push_back(
                {document_section::Routes, i, "Route " + each.name, each.allowedRegions});
    }
    const std::vector<organisation> &organisations = document.organisations().all();
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        const organisation &each = organisations[i];
        if (!each.allowedRegions.empty())
            result.push_back({document_section::Organisations, i, "Organisation " + each.id.value,
                              each.allowedRegions});
    }
    return result;
}

std::set<std::string> regionsWithZones(const check_context &context)
{
    std::set<std::string> result;
    for (const auto &[zone, region] : *context.regions)
        result.insert(region);
    return result;
}

void checkZones(const std::vector<restricted_entry> &entries, const std::set<std::string> &known,
                finding_list &findings)
{
    for (const restricted_entry &entry : entries) {
        const auto isKnown = [&](const std::string &region) { return known.contains(region); };
        if (std::none_of(entry.regions.begin(), entry.regions.end(), isKnown)) {
            findings.push_back({finding_code::NoAllowedZone, entry.place(),
                                entry.title
                                    + " allows only regions without a zone, so that its requests "
                                      "are refused."});
            continue;
        }
        for (std::size_t i = 0; i < entry.regions.size(); ++i) {
            if (!isKnown(entry.regions[i]))
                findings.push_back({finding_code::RegionWithoutZone, entry.place(i),
                                    fmt::format("{} allows region {}, to which no zone belongs.",
                                                entry.title, entry.regions[i])});
        }
    }
}

/// Routes that share no allowed region with an organisation. One finding for each route, since many
/// organisations may have the same regions.
void checkCommonRegions(const relay::route_document &document, finding_list &findings)
{
    struct organisation_group
    {
        std::string firstName;
        std::size_t size = 0;
    };
    std::map<std::set<std::string>, organisation_group> groups;
    for (const organisation &each : document.organisations().all()) {
        if (each.allowedRegions.empty())
            continue;
        organisation_group &group =
            groups[std::set<std::string>(each.allowedRegions.begin(), each.allowedRegions.end())];
        if (group.size++ == 0)
            group.firstName = each.id.value;
    }
    for (std::size_t i = 0; i < document.routes().size(); ++i) {
        const relay::route &subject = document.routes()[i];
        if (subject.allowedRegions.empty())
            continue;
        std::size_t excluded = 0;
        std::string name;
        for (const auto &[regions, group] : groups) {
            const auto isShared = [&regions = regions](const std::string &region) {
                return regions.contains(region);
            };
            if (std::any_of(subject.allowedRegions.begin(), subject.allowedRegions.end(), isShared))
                continue;
            if (excluded == 0)
                name = group.firstName;
            excluded += group.size;
        }
        if (excluded == 0)
            continue;
        const std::string others = excluded == 1 ? "" : fmt::format(" and {} more", excluded - 1);
        findings.push_back({finding_code::NoCommonRegion,
                            {document_section::Routes, i, document_field::AllowedRegions},
                            fmt::format("Route {} shares no allowed region with organisation {}{}; "
                                        "their requests to it are refused.",
                                        subject.name, name, others)});
    }
}

/// Services that receive requests which the entry restricts and that have servers. Services
/// without servers are reported by themselves.
std::vector<service_id> restrictedServices(const restricted_entry &entry,
                                           const relay::route_document &document,
                                           const std::vector<service_id> &allServices,
                                           const server_summary &servers)
{
    std::vector<service_id> result = entry.section == document_section::Routes
        ? usedServices(document.routes()[entry.index])
        : allServices;
    std::erase_if(result, [&](const service_id &service) { return servers.count(service) == 0; });
    return result;
}

void checkServersOfRegions(const std::vector<restricted_entry> &entries,
                           const relay::route_document &document, const check_context &context,
                           finding_list &findings)
{
    const server_summary servers(context);
    const std::set<std::string> known = regionsWithZones(context);
    std::set<service_id> used;
    for (const relay::route &each : document.routes()) {
        for (service_id &service : usedServices(each))
            used.insert(std::move(service));
    }
    const std::vector<service_id> allServices(used.begin(), used.end());
    for (const restricted_entry &entry : entries) {
        const std::vector<service_id> services =
            restrictedServices(entry, document, allServices, servers);
        for (std::size_t i = 0; i < entry.regions.size() && !services.empty(); ++i) {
            if (known.contains(entry.regions[i]) && !servers.hasAny(services, entry.regions[i]))
                findings.push_back({finding_code::RegionWithoutServers, entry.place(i),
                                    fmt::format("{} allows region {}, in which none of its "
                                                "services has a server.",
                                                entry.title, entry.regions[i])});
        }
        if (entry.section != document_section::Routes)
            continue;
        const auto unserved =
            std::find_if(services.begin(), services.end(), [&](const service_id &service) {
                return servers.count(service, entry.regions) == 0;
            });
        if (unserved != services.end())
            findings.push_back({finding_code::NoAllowedServer, entry.place(),
                                fmt::format("{} uses service {}, which has no server in an "
                                            "allowed region.",
                                            entry.title, unserved->value)});
    }
}

} // namespace

void checkRegions(const relay::route_document &document, const check_context &context,
                  finding_list &findings)
{
    checkCommonRegions(document, findings);
    if (!context.regions.has_value())
        return;
    const std::vector<restricted_entry> entries = restrictedEntries(document);
    checkZones(entries, regionsWithZones(context), findings);
    if (context.servers.has_value())
        checkServersOfRegions(entries, document, context, findings);
}

} // namespace waxwing::route_check
