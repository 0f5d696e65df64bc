#pragma once

#include "configuration/configuration.h"
#include "core/strong_id.h"
#include "membership/member.h"

#include <cstdint>
#include <map>
#include <vector>

namespace waxwing {

/// Shares of the connection limit of backend servers that routing plans with.
struct routing_settings
{
    /// Holders of a service, as a share of the smallest connection limit among its servers.
    double holderShare = 0.75;
    /// Connections of all holders together, as a share of a server's connection limit. The rest
    /// is headroom for hosts whose membership views differ.
    double connectionShare = 0.85;

    bool operator==(const routing_settings &) const = default;
};

/// Which entry hosts hold connections to the backend servers of each service. Immutable; the same
/// configuration and members give the same assignment on every host.
class holder_assignment
{
public:
    /// Assigns holders zone by zone. `members` are the hosts that are alive or suspect.
    static holder_assignment compute(const configuration &document,
                                     const std::vector<member> &members,
                                     const routing_settings &settings);

    /// Holders of the service, in order of their ids; empty for an unknown service.
    const std::vector<host_id> &holders(const service_id &service) const;
    /// Whether the host holds the service.
    bool isHolder(const service_id &service, const host_id &host) const;
    /// Connections that each holder may use to the server, at least 1.
    std::uint32_t connectionsPerHolder(const server_id &server) const;

    bool operator==(const holder_assignment &) const = default;

private:
    std::map<service_id, std::vector<host_id>> m_holders;
    std::map<server_id, std::uint32_t> m_connections;
};

} // namespace waxwing
