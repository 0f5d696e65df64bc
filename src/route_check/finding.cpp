#include "route_check/finding.h"

#include <cassert>

namespace waxwing::route_check {

using enum finding_severity;

const std::array<finding_kind, findingKindCount> findingKinds{{
    {finding_code::NotJson, "not_json", Error},
    {finding_code::DuplicateField, "duplicate_field", Error},
    {finding_code::WrongObject, "wrong_object", Error},
    {finding_code::InvalidField, "invalid_field", Error},
    {finding_code::Rejected, "rejected", Error},
    {finding_code::InvalidRoute, "invalid_route", Error},
    {finding_code::InvalidOrganisation, "invalid_organisation", Error},
    {finding_code::DuplicateRoute, "duplicate_route", Error},
    {finding_code::DuplicateName, "duplicate_name", Error},
    {finding_code::DuplicateKey, "duplicate_key", Error},
    {finding_code::InvalidCoverage, "invalid_coverage", Error},
    {finding_code::NoWeight, "no_weight", Error},
    {finding_code::UnknownService, "unknown_service", Error},
    {finding_code::NoAllowedZone, "no_allowed_zone", Error},
    {finding_code::VersionNotHigher, "version_not_higher", Error},
    {finding_code::LargeDocument, "large_document", Warning},
    {finding_code::InForceInvalid, "in_force_invalid", Warning},
    {finding_code::UnknownType, "unknown_type", Warning},
    {finding_code::NoRoutes, "no_routes", Warning},
    {finding_code::ShadowedRoute, "shadowed_route", Warning},
    {finding_code::UnreachableRoute, "unreachable_route", Warning},
    {finding_code::OrganisationWithoutKeys, "organisation_without_keys", Warning},
    {finding_code::UnusableKey, "unusable_key", Warning},
    {finding_code::RegionWithoutZone, "region_without_zone", Warning},
    {finding_code::NoCommonRegion, "no_common_region", Warning},
    {finding_code::RegionWithoutServers, "region_without_servers", Warning},
    {finding_code::NoAllowedServer, "no_allowed_server", Warning},
    {finding_code::ServiceWithoutServers, "service_without_servers", Warning},
    {finding_code::TimeoutBelowTarget, "timeout_below_target", Warning},
    {finding_code::TimeoutBelowRoundTrip, "timeout_below_round_trip", Warning},
    {finding_code::AttemptsAboveServers, "attempts_above_servers", Warning},
    {finding_code::BurstBelowOne, "burst_below_one", Warning},
    {finding_code::BurstWithoutRate, "burst_without_rate", Warning},
    {finding_code::ColdRateWithoutWarmUp, "cold_rate_without_warm_up", Warning},
    {finding_code::QuotasAboveCapacity, "quotas_above_capacity", Warning},
    {finding_code::HeaderTimeoutAboveIdleTimeout, "header_timeout_above_idle_timeout", Warning},
    {finding_code::TooManyRecords, "too_many_records", Warning},
    {finding_code::NoKeyKept, "no_key_kept", Warning},
    {finding_code::KeysNoLongerChecked, "keys_no_longer_checked", Warning},
    {finding_code::ZeroWeight, "zero_weight", Note},
    {finding_code::ServiceWithoutRoute, "service_without_route", Note},
    {finding_code::RouteAdded, "route_added", Note},
    {finding_code::RouteRemoved, "route_removed", Note},
    {finding_code::RouteChanged, "route_changed", Note},
    {finding_code::ServiceAdded, "service_added", Note},
    {finding_code::ServiceRemoved, "service_removed", Note},
    {finding_code::ServiceChanged, "service_changed", Note},
    {finding_code::OrganisationAdded, "organisation_added", Note},
    {finding_code::OrganisationRemoved, "organisation_removed", Note},
    {finding_code::OrganisationChanged, "organisation_changed", Note},
    {finding_code::KeyAdded, "key_added", Note},
    {finding_code::KeyRemoved, "key_removed", Note},
    {finding_code::QuotaChanged, "quota_changed", Note},
    {finding_code::LimitsChanged, "limits_changed", Note},
}};

const finding_kind &kindOf(finding_code code)
{
    const finding_kind &result = findingKinds.at(static_cast<std::size_t>(code));
    assert(result.code == code);
    return result;
}

std::string_view severityName(finding_severity severity)
{
    switch (severity) {
    case Error:
        return "error";
    case Warning:
        return "warning";
    case Note:
        break;
    }
    return "note";
}

} // namespace waxwing::route_check
