#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing::route_check {

/// How much a finding matters.
enum class finding_severity {
    /// Hosts reject the document, or a part of it cannot work.
    Error,
    /// An entry has no effect, or settings contradict each other.
    Warning,
    /// Worth knowing; also every difference from the document in force.
    Note,
};

/// What was found.
enum class finding_code {
    NotJson,
    DuplicateField,
    WrongObject,
    InvalidField,
    Rejected,
    InvalidRoute,
    InvalidOrganisation,
    DuplicateRoute,
    DuplicateName,
    DuplicateKey,
    InvalidCoverage,
    NoWeight,
    UnknownService,
    NoAllowedZone,
    VersionNotHigher,
    LargeDocument,
    InForceInvalid,
    UnknownType,
    NoRoutes,
    ShadowedRoute,
    UnreachableRoute,
    OrganisationWithoutKeys,
    UnusableKey,
    RegionWithoutZone,
    NoCommonRegion,
    RegionWithoutServers,
    NoAllowedServer,
    ServiceWithoutServers,
    TimeoutBelowTarget,
    TimeoutBelowRoundTrip,
    AttemptsAboveServers,
    BurstBelowOne,
    BurstWithoutRate,
    ColdRateWithoutWarmUp,
    QuotasAboveCapacity,
    HeaderTimeoutAboveIdleTimeout,
    TooManyRecords,
    NoKeyKept,
    KeysNoLongerChecked,
    ZeroWeight,
    ServiceWithoutRoute,
    RouteAdded,
    RouteRemoved,
    RouteChanged,
    ServiceAdded,
    ServiceRemoved,
    ServiceChanged,
    OrganisationAdded,
    OrganisationRemoved,
    OrganisationChanged,
    KeyAdded,
    KeyRemoved,
    QuotaChanged,
    LimitsChanged,
};

/// Name and severity of the findings with one code.
struct finding_kind
{
    finding_code code;
    /// Name in the output, such as `unknown_service`.
    std::string_view name;
    finding_severity severity;

    bool operator==(const finding_kind &) const = default;
};

/// The kinds of findings in the order of `finding_code`.
inline constexpr std::size_t findingKindCount =
    static_cast<std::size_t>(finding_code::LimitsChanged) + 1;
extern const std::array<finding_kind, findingKindCount> findingKinds;

/// Name and severity of findings with the code.
const finding_kind &kindOf(finding_code code);
/// Name in the output: `error`, `warning` or `note`.
std::string_view severityName(finding_severity severity);

/// Part of a route document.
enum class document_section { Document, Version, Routes, Services, Organisations, Limits };

/// Field of a route, service, organisation or of the limits.
enum class document_field {
    /// The whole entry.
    None,
    Name,
    HostName,
    Prefix,
    CallerTimeout,
    LatencyTarget,
    Attempts,
    Targets,
    Shards,
    TopRecords,
    MinCoverage,
    AllowedRegions,
    ColdRate,
    WarmUp,
    Keys,
    Rate,
    Burst,
    HeaderTimeout,
    IdleTimeout,
};

/// Location in a route document, independent of the names that the platform gives to its fields.
struct finding_place
{
    document_section section = document_section::Document;
    /// Position of the route, service or organisation; empty for the list as a whole.
    std::optional<std::size_t> index{};
    document_field field = document_field::None;
    /// Position in the field; empty for the field as a whole.
    std::optional<std::size_t> element{};

    bool operator==(const finding_place &) const = default;
};

/// One result of a check.
struct finding
{
    finding_code code;
    finding_place place;
    /// One sentence for operators. Contains no API key.
    std::string sentence;

    finding_severity severity() const { return kindOf(code).severity; }

    bool operator==(const finding &) const = default;
};

} // namespace waxwing::route_check
