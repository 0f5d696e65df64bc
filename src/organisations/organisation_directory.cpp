#include "organisations/organisation_directory.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace waxwing {
namespace {

/// Names are sent to servers as header fields, which control characters would break.
bool hasControlCharacter(std::string_view name)
{
    return std::any_of(name.begin(), name.end(),
                       [](char c) { return absl::ascii_iscntrl(static_cast<unsigned char>(c)); });
}

absl::Status invalidOrganisation(const organisation &subject, std::string_view reason)
{
    return absl::InvalidArgumentError(fmt::format("organisation {}: {}", subject.id.value, reason));
}

} // namespace

absl::StatusOr<organisation_directory>
organisation_directory::create(std::vector<organisation> organisations)
{
    organisation_directory result;
    std::set<organisation_id> names;
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        const organisation &each = organisations[i];
        if (each.id.value.empty() || !names.insert(each.id).second)
            return invalidOrganisation(each, "has no name or that of another organisation");
        if (hasControlCharacter(each.id.value))
            return invalidOrganisation(each, "has a control character in its name");
        if (!(each.ratePerSecond >= 0) || !(each.burst >= 0))
            return invalidOrganisation(each, "has a negative quota");
        for (const std::string &key : each.keys) {
            if (key.empty() || !result.m_byKey.emplace(key, i).second)
                return invalidOrganisation(each, "has an empty key or one that is used twice");
        }
    }
    for (const organisation &each : organisations)
        result.m_leastUrgentRank = std::max(result.m_leastUrgentRank, each.rank);
    result.m_organisations = std::move(organisations);
    return result;
}

const organisation *organisation_directory::findByKey(std::string_view key) const
{
    const auto found = m_byKey.find(absl::string_view(key.data(), key.size()));
    return found == m_byKey.end() ? nullptr : &m_organisations[found->second];
}

} // namespace waxwing
