#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "membership/member.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace waxwing::relay {

/// Number of hosts that read the store.
struct store_roles_settings
{
    /// Fleets of up to so many hosts read the store on every host: their calls cost less than a
    /// hundredth of what they serve, and no host has to wait for another one.
    std::size_t maxDirectHosts = 12;
    /// Hosts that read the store in each zone of a larger fleet; in a fleet of one zone twice as
    /// many, so that a host always has two to ask.
    std::size_t readersPerZone = 1;
    /// Hosts that a host asks in turn, so that a change that one of them misses comes from another.
    std::size_t sourcesPerHost = 2;

    bool operator==(const store_roles_settings &) const = default;
};

/// Where a host learns what the store holds.
struct store_role
{
    /// Whether the host reads the store itself.
    bool readsStore = true;
    /// Addresses of hosts that read the store for it, the nearest first.
    std::vector<endpoint> sources;

    bool operator==(const store_role &) const = default;
};

/// The role of the host `self` among `active`. Every host computes it from its own view; a host
/// that is asked although it does not read the store refuses, and the one that asked reads the
/// store.
store_role chooseStoreRole(const store_roles_settings &settings, const member &self,
                           const std::vector<member> &active,
                           const std::map<zone_id, std::string> &regions);

} // namespace waxwing::relay
