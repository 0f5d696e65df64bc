#include "organisations/caller_authentication.h"
#include "route_check/route_checks.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <string_view>

namespace waxwing::route_check {
namespace {

using finding_list = std::vector<finding>;

/// Whether the text has a space, a control character or one of `others`.
bool hasCharacter(std::string_view text, std::string_view others)
{
    return std::any_of(text.begin(), text.end(), [others](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return absl::ascii_iscntrl(byte) || c == ' ' || others.find(c) != std::string_view::npos;
    });
}

void checkRoute(const relay::route_document &document, std::size_t index, finding_list &findings)
{
    const relay::route &subject = document.routes()[index];
    const auto report = [&](finding_code code, document_field field, const std::string &reason) {
        findings.push_back(
            {code,
             {document_section::Routes, index, field},
             fmt::format("Route {} receives no requests: {}.", subject.name, reason)});
    };
    if (hasCharacter(subject.hostName, "/?#@")) {
        report(finding_code::UnreachableRoute, document_field::HostName,
               "its host name has a character that host names cannot contain");
        return;
    }
    // The look-up of the hosts, which ignores queries and fragments.
    const relay::route *found = document.find(subject.hostName, subject.prefix);
    if (found != &subject && found != nullptr)
        report(
            finding_code::ShadowedRoute, document_field::Prefix,
            fmt::format("those that begin with its path prefix belong to route {}", found->name));
    else if (found == nullptr || hasCharacter(subject.prefix, ""))
        report(finding_code::UnreachableRoute, document_field::Prefix,
               "its path prefix has a character that paths cannot contain");
}

void checkWeights(const relay::route &subject, std::size_t index, finding_list &findings)
{
    for (std::size_t i = 0; i < subject.targets.size(); ++i) {
        if (subject.targets[i].weight > 0)
            continue;
        findings.push_back({finding_code::ZeroWeight,
                            {document_section::Routes, index, document_field::Targets, i},
                            fmt::format("Route {} sends no requests to service {}, which has "
                                        "weight 0.",
                                        subject.name, subject.targets[i].service.value)});
    }
}

void checkKeys(const organisation &subject, std::size_t index, finding_list &findings)
{
    if (subject.keys.empty())
        findings.push_back(
            {finding_code::OrganisationWithoutKeys,
             {document_section::Organisations, index, document_field::Keys},
             fmt::format("Organisation {} has no keys, so that no request belongs to it.",
                         subject.id.value)});
    for (std::size_t i = 0; i < subject.keys.size(); ++i) {
        if (!hasCharacter(subject.keys[i], ""))
            continue;
        findings.push_back({finding_code::UnusableKey,
                            {document_section::Organisations, index, document_field::Keys, i},
                            fmt::format("Key {} of organisation {} has a blank or control "
                                        "character, which hosts do not accept in a key.",
                                        keyDigest(subject.keys[i]), subject.id.value)});
    }
}

} // namespace

void checkMatching(const relay::route_document &document, finding_list &findings)
{
    for (std::size_t i = 0; i < document.routes().size(); ++i) {
        checkRoute(document, i, findings);
        checkWeights(document.routes()[i], i, findings);
    }
    const std::vector<organisation> &organisations = document.organisations().all();
    for (std::size_t i = 0; i < organisations.size(); ++i)
        checkKeys(organisations[i], i, findings);
}

} // namespace waxwing::route_check
