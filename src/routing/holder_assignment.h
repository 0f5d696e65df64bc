#pragma once

#include "configuration/configuration.h"
#include "core/strong_id.h"
#include "membership/member.h"

#include <cstdint>
#include <map>
#include <vector>

namespace waxwing {

/// Fractions of the connection limit of backend servers that routing may use.
struct routing_settings
{
    /// Maximum holders of a service, as a fraction of the smallest connection limit of its servers.
    double holderShare = 0.75;
    /// Connections of all holders together, as a fraction of a server's connection limit. The rest
    /// is headroom for hosts whose membership views differ.
    double connectionShare = 0.85;

    bool operator==(const routing_settings &) const = default;
};

/// Assigns to each service the entry hosts (holders) that connect to its backend servers. Immutable
/// and deterministic: the same configuration and members give the same assignment on every host.
class holder_assignment
{
public:
    /// Computes the holders of each zone separately. `members` are the hosts that are alive or
    /// suspect.
    static holder_assignment compute(const configuration &document,
                                     const std::vector<member> &members,
                                     const routing_settings &settings);

    /// Holders of the service, sorted by id; empty for an unknown service.
    const std::vector<host_id> &holders(const service_id &service) const;
    bool isHolder(const service_id &service, const host_id &host) const;
    /// Maximum connections of each holder to the server; at least 1.
    std::uint32_t connectionsPerHolder(const server_id &server) const;

    bool operator==(const holder_assignment &) const = default;

private:
    std::map<service_id, std::vector<host_id>> m_holders;
    std::map<server_id, std::uint32_t> m_connections;
};

} // namespace waxwing
