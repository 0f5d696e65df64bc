#include "relay/route_document.h"

#include "core/text.h"

#include <fmt/format.h>

#include <set>

namespace waxwing::relay {
namespace {

std::string withoutPort(std::string_view hostName)
{
    return lowerCase(hostName.substr(0, hostName.find(':')));
}

absl::Status invalidRoute(const route &subject, std::string_view reason)
{
    return absl::InvalidArgumentError(fmt::format("route {}: {}", subject.name, reason));
}

absl::Status validateTargets(const route &subject)
{
    if (subject.targets.empty() == subject.shards.empty())
        return invalidRoute(subject, "must have either targets or shards");
    double total = 0;
    for (const weighted_service &target : subject.targets) {
        if (target.weight < 0)
            return invalidRoute(subject, "has a target with a negative weight");
        total += target.weight;
    }
    if (!subject.targets.empty() && total <= 0)
        return invalidRoute(subject, "has no target with a positive weight");
    const std::set<service_id> distinct(subject.shards.begin(), subject.shards.end());
    if (distinct.size() != subject.shards.size())
        return invalidRoute(subject, "lists the same shard more than once");
    if (subject.isFanOut() && subject.semantics != execution_semantics::Idempotent)
        return invalidRoute(subject, "is a fan-out but not idempotent");
    if (subject.isFanOut() && (subject.minCoverage < 0 || subject.minCoverage > 1))
        return invalidRoute(subject, "has a minimum coverage outside 0 to 1");
    return absl::OkStatus();
}

absl::Status validateRoute(const route &subject)
{
    const bool slashes = subject.prefix.starts_with('/') && subject.prefix.ends_with('/');
    if (!slashes)
        return invalidRoute(subject, "has a path prefix that does not begin and end with a slash");
    if (subject.hostName.empty())
        return invalidRoute(subject, "has no host name");
    if (subject.callerTimeout.count() <= 0 || subject.latencyTarget.count() <= 0)
        return invalidRoute(subject, "has a timeout or target latency that is not positive");
    if (subject.attempts == 0)
        return invalidRoute(subject, "has 0 attempts, expected at least 1");
    return validateTargets(subject);
}

} // namespace

absl::StatusOr<route_document> route_document::create(std::uint64_t version,
                                                      std::vector<route> routes,
                                                      std::vector<routed_service> services,
                                                      caller_limits limits,
                                                      std::vector<organisation> organisations)
{
    auto directory = organisation_directory::create(std::move(organisations));
    if (!directory.ok())
        return directory.status();
    route_document result;
    result.m_organisations = *std::move(directory);
    result.m_version = version;
    result.m_routes = std::move(routes);
    result.m_services = std::move(services);
    result.m_limits = limits;
    for (route &each : result.m_routes)
        each.hostName = withoutPort(each.hostName);
    if (absl::Status status = result.buildIndex(); !status.ok())
        return status;
    return result;
}

absl::Status route_document::buildIndex()
{
    m_index.reserve(m_routes.size());
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        const route &each = m_routes[i];
        if (absl::Status status = validateRoute(each); !status.ok())
            return status;
        if (!m_index.emplace(each.hostName + each.prefix, i).second)
            return invalidRoute(each, "has the same host name and prefix as another route");
    }
    return absl::OkStatus();
}

const route *route_document::find(std::string_view hostName, std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    std::string key = withoutPort(hostName);
    const std::size_t hostSize = key.size();
    key.append(path);
    // Prefixes end with a slash, so only keys cut after a slash can match.
    for (std::size_t end = key.rfind('/'); end != std::string::npos && end >= hostSize;
         end = end == 0 ? std::string::npos : key.rfind('/', end - 1)) {
        key.resize(end + 1);
        const auto found = m_index.find(key);
        if (found != m_index.end())
            return &m_routes[found->second];
    }
    return nullptr;
}

std::map<service_id, std::uint32_t> route_document::fanOutConnectionLimits() const
{
    std::set<service_id> shards;
    std::set<service_id> targets;
    for (const route &each : m_routes) {
        shards.insert(each.shards.begin(), each.shards.end());
        for (const weighted_service &target : each.targets)
            targets.insert(target.service);
    }
    std::map<service_id, std::uint32_t> result;
    for (const routed_service &service : m_services) {
        if (shards.count(service.id) > 0 && targets.count(service.id) == 0)
            result.emplace(service.id, service.connectionLimit);
    }
    return result;
}

std::map<service_id, cold_rate> route_document::coldRates() const
{
    std::map<service_id, cold_rate> result;
    for (const routed_service &service : m_services) {
        if (service.coldRatePerSecond > 0)
            result.emplace(service.id, cold_rate{service.coldRatePerSecond, service.warmUp});
    }
    return result;
}

} // namespace waxwing::relay
