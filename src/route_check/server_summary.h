#pragma once

#include "route_check/check_context.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace waxwing::route_check {

/// Counts the registered servers by service and region. Servers that are about to stop do not
/// count. Immutable.
class server_summary
{
public:
    /// Without `context.servers` there are no servers.
    explicit server_summary(const check_context &context);

    /// Number of servers of the service; only those in `regions` unless it is empty.
    std::size_t count(const service_id &service, std::span<const std::string> regions = {}) const;
    /// Requests that all servers of the service run at a time.
    std::uint64_t slots(const service_id &service) const;
    /// Whether the region has a server of any of the services.
    bool hasAny(std::span<const service_id> services, const std::string &region) const;

private:
    struct entry
    {
        std::size_t servers = 0;
        std::uint64_t slots = 0;
        std::map<std::string, std::size_t> serversByRegion;
    };

    std::map<service_id, entry> m_services;
};

} // namespace waxwing::route_check
