#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace waxwing::relay {

/// How often a request of a route may run.
enum class execution_semantics {
    /// It may run several times, so it may be hedged and retried.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
};

/// Service that gets a share of a route's requests.
struct weighted_service
{
    /// The service.
    service_id service;
    /// Share in proportion to the other weights of the route.
    double weight = 1;

    bool operator==(const weighted_service &) const = default;
};

/// Requests of one host name and path prefix, and what answers them.
struct route
{
    /// Unique name.
    std::string name;
    /// Host name in lower case, without a port.
    std::string hostName;
    /// Beginning of the path; begins and ends with a slash.
    std::string prefix;
    /// How often a request may run.
    execution_semantics semantics = execution_semantics::AtMostOnce;
    /// Longest time that a caller is kept waiting.
    std::chrono::milliseconds callerTimeout{1000};
    /// Time within which an answer has its full value.
    std::chrono::milliseconds latencyTarget{1000};
    /// Backend servers of a service that may run one request of a caller.
    std::uint32_t attempts = 1;
    /// Rank among routes under overload; 0 is served first.
    std::uint32_t rank = 0;
    /// Services that a request goes to one of. Empty for a fan-out.
    std::vector<weighted_service> targets;
    /// Services that each answer a part of a fan-out. Empty for a single answer.
    std::vector<service_id> shards;
    /// Records in the answer of a fan-out.
    std::size_t topRecords = 0;
    /// Least share of the shards in the answer of a fan-out, 0..1.
    double minCoverage = 1;

    /// Whether an answer is merged from the parts of several shards.
    bool isFanOut() const { return !shards.empty(); }

    bool operator==(const route &) const = default;
};

/// What the document says about a service.
struct routed_service
{
    /// Id.
    service_id id;
    /// Connections that a backend server of it accepts from all hosts together.
    std::uint32_t connectionLimit = 1;

    bool operator==(const routed_service &) const = default;
};

/// Limits on what callers send.
struct caller_limits
{
    /// Header fields of a request, in bytes.
    std::size_t headerBytes = std::size_t{16} * 1024;
    /// Body of a request, in bytes.
    std::size_t bodyBytes = std::size_t{256} * 1024;
    /// Time in which the header of a request has to arrive.
    std::chrono::milliseconds headerTimeout{5000};
    /// Time for which a connection may be idle.
    std::chrono::milliseconds idleTimeout{60000};

    bool operator==(const caller_limits &) const = default;
};

/// Everything that the operators decide about relayed requests, checked as a whole.
class route_document
{
public:
    /// Checks the content. Fails with InvalidArgument, naming the route or service and the reason.
    static absl::StatusOr<route_document> create(std::uint64_t version, std::vector<route> routes,
                                                 std::vector<routed_service> services,
                                                 caller_limits limits);

    /// Version; a higher one replaces a lower one.
    std::uint64_t version() const { return m_version; }
    /// Routes in the order of the document.
    const std::vector<route> &routes() const { return m_routes; }
    /// Services in the order of the document.
    const std::vector<routed_service> &services() const { return m_services; }
    /// Limits on what callers send.
    const caller_limits &limits() const { return m_limits; }
    /// The route of the host name with the longest prefix of `path`, or null. `path` may have a
    /// query.
    const route *find(std::string_view hostName, std::string_view path) const;

    bool operator==(const route_document &other) const
    {
        return m_version == other.m_version && m_routes == other.m_routes
            && m_services == other.m_services && m_limits == other.m_limits;
    }

private:
    route_document() = default;
    absl::Status check() const;
    void buildIndex();

    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::vector<routed_service> m_services;
    caller_limits m_limits;
    /// Index in `m_routes` by host name and prefix, joined.
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace waxwing::relay
