#include "route_check/route_checks.h"

#include <fmt/format.h>

#include <set>
#include <string_view>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;

void checkName(const std::string &name, std::string_view what, std::size_t index,
               document_section section, std::set<std::string> &names, finding_list &findings)
{
    if (!names.insert(name).second)
        findings.push_back({finding_code::DuplicateName,
                            {section, index, document_field::Name},
                            fmt::format("Two {}s are named {}.", what, name)});
}

void checkServices(const relay::route &subject, std::size_t index,
                   const std::set<service_id> &services, std::set<service_id> &used,
                   finding_list &findings)
{
    const auto check = [&](const service_id &service, document_field field, std::size_t element) {
        used.insert(service);
        if (!services.contains(service))
            findings.push_back(
                {finding_code::UnknownService,
                 {document_section::Routes, index, field, element},
                 fmt::format("Route {} names service {}, which the document does not contain.",
                             subject.name, service.value)});
    };
    for (std::size_t i = 0; i < subject.targets.size(); ++i)
        check(subject.targets[i].service, document_field::Targets, i);
    for (std::size_t i = 0; i < subject.shards.size(); ++i)
        check(subject.shards[i], document_field::Shards, i);
}

} // namespace

void checkReferences(const relay::route_document &document, finding_list &findings)
{
    std::set<service_id> services;
    std::set<std::string> names;
    for (std::size_t i = 0; i < document.services().size(); ++i) {
        const service_id &id = document.services()[i].id;
        services.insert(id);
        checkName(id.value, "service", i, document_section::Services, names, findings);
    }
    if (document.routes().empty())
        findings.push_back({finding_code::NoRoutes,
                            {document_section::Routes},
                            "The document contains no routes, so that hosts refuse all requests."});
    names.clear();
    std::set<service_id> used;
    for (std::size_t i = 0; i < document.routes().size(); ++i) {
        const relay::route &each = document.routes()[i];
        checkName(each.name, "route", i, document_section::Routes, names, findings);
        checkServices(each, i, services, used, findings);
    }
    for (std::size_t i = 0; i < document.services().size(); ++i) {
        const service_id &id = document.services()[i].id;
        if (!used.contains(id))
            findings.push_back({finding_code::ServiceWithoutRoute,
                                {document_section::Services, i},
                                fmt::format("No route uses service {}.", id.value)});
    }
}

} // namespace waxwing::route_check
