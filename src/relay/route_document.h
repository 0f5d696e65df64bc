#pragma once

#include "balancing/cold_limit.h"
#include "core/clock.h"
#include "core/strong_id.h"
#include "organisations/organisation_directory.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing::relay {

/// How often backend servers may execute a request of a route.
enum class execution_semantics {
    /// May be executed several times, so it can be hedged and retried.
    Idempotent,
    /// Is executed at most once.
    AtMostOnce,
};

/// Service that receives a share of a route's requests.
struct weighted_service
{
    service_id service;
    /// Relative to the sum of the route's weights.
    double weight = 1;

    bool operator==(const weighted_service &) const = default;
};

/// Maps the requests of one host name and path prefix to services.
struct route
{
    std::string name;
    /// Host name in lower case, without a port.
    std::string hostName;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    execution_semantics semantics = execution_semantics::AtMostOnce;
    /// Time within which the caller receives a response.
    std::chrono::milliseconds callerTimeout{1000};
    /// Response time up to which a response earns its full value.
    std::chrono::milliseconds latencyTarget{1000};
    /// Limit on the backend servers of a service that one request of a caller is sent to.
    std::uint32_t attempts = 1;
    /// Priority under overload; 0 is served first.
    std::uint32_t rank = 0;
    /// A request is sent to one of these services. Empty for a fan-out.
    std::vector<weighted_service> targets;
    /// Services that each return a part of a fan-out. Empty if the route has targets.
    std::vector<service_id> shards;
    /// Records in the merged response of a fan-out.
    std::size_t topRecords = 0;
    /// Minimum share of the shards that a fan-out response must include, 0..1.
    double minCoverage = 1;

    /// Whether requests need no API key although the document names organisations.
    bool isPublic = false;
    /// Regions in which requests may be served; empty for any.
    std::vector<std::string> allowedRegions;

    /// Whether the response is merged from the parts of several shards.
    bool isFanOut() const { return !shards.empty(); }

    bool operator==(const route &) const = default;
};

/// Settings of a service that routes refer to.
struct routed_service
{
    service_id id;
    /// Connections that each of its backend servers accepts from all hosts together.
    std::uint32_t connectionLimit = 1;
    /// Requests a second from all hosts that a cold server tolerates; 0 if they are not limited.
    double coldRatePerSecond = 0;
    /// Time after its start for which a server is cold.
    std::chrono::milliseconds warmUp{0};

    bool operator==(const routed_service &) const = default;
};

/// Limits on requests and connections of callers.
struct caller_limits
{
    /// Maximum size of the header fields of a request, in bytes.
    std::size_t headerBytes = std::size_t{16} * 1024;
    /// Maximum size of a request body, in bytes.
    std::size_t bodyBytes = std::size_t{256} * 1024;
    /// Time within which the whole header of a request must arrive.
    std::chrono::milliseconds headerTimeout{5000};
    /// Time for which a connection may be idle.
    std::chrono::milliseconds idleTimeout{60000};

    bool operator==(const caller_limits &) const = default;
};

/// Routes, services and limits configured by the operators. Validated as a whole, so a document
/// with one invalid route is rejected. Immutable.
class route_document
{
public:
    /// Validates the content. Host names are converted to lower case, without a port. Fails with
    /// InvalidArgument; the message contains the name of the route and the reason.
    static absl::StatusOr<route_document> create(std::uint64_t version, std::vector<route> routes,
                                                 std::vector<routed_service> services,
                                                 caller_limits limits,
                                                 std::vector<organisation> organisations = {});

    /// A document is replaced only by one with a higher version.
    std::uint64_t version() const { return m_version; }
    /// Routes in the order of the document.
    const std::vector<route> &routes() const { return m_routes; }
    /// Services in the order of the document.
    const std::vector<routed_service> &services() const { return m_services; }
    /// Rates of the services that have one for cold servers.
    std::map<service_id, cold_rate> coldRates() const;
    /// Connection limits of the services that return parts of fan-outs, apart from those that are
    /// also the target of another route.
    std::map<service_id, std::uint32_t> fanOutConnectionLimits() const;
    const caller_limits &limits() const { return m_limits; }
    const organisation_directory &organisations() const { return m_organisations; }
    /// Returns the route of the host name with the longest prefix that matches `path`, or null. A
    /// port in `hostName` and a query or fragment in `path` are ignored.
    const route *find(std::string_view hostName, std::string_view path) const;

    bool operator==(const route_document &other) const
    {
        return m_version == other.m_version && m_routes == other.m_routes
            && m_services == other.m_services && m_limits == other.m_limits
            && m_organisations == other.m_organisations;
    }

private:
    route_document() = default;
    /// Validates each route and adds it to the index.
    absl::Status buildIndex();

    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::vector<routed_service> m_services;
    caller_limits m_limits;
    organisation_directory m_organisations;
    /// Maps a host name joined with a prefix to an index in `m_routes`.
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace waxwing::relay
