#pragma once

#include "core/endpoint.h"
#include "core/strong_id.h"
#include "membership/member.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace waxwing::relay {

/// Limits how many hosts read the store.
struct store_roles_settings
{
    /// In a fleet of up to this many hosts, every host reads the store. The calls then cost less
    /// than a hundredth of the value of the served requests, and no host depends on another.
    std::size_t maxDirectHosts = 12;
    /// Hosts per zone that read the store in a larger fleet. Doubled in a fleet with a single zone,
    /// so that every other host has two sources.
    std::size_t readersPerZone = 1;
    /// Sources that a host calls in turn, so that a change missed by one arrives from another.
    std::size_t sourcesPerHost = 2;

    bool operator==(const store_roles_settings &) const = default;
};

/// Where a host reads the objects of the store.
struct store_role
{
    /// Whether the host calls the store directly.
    bool readsStore = true;
    /// Hosts to call in place of the store, nearest first; empty if `readsStore` is set.
    std::vector<endpoint> sources;
    /// Hosts in other zones that a host which reads the store calls for evacuations while it does
    /// not reach the store.
    std::vector<endpoint> fallbacks{};

    bool operator==(const store_role &) const = default;
};

/// Returns the role of the host `self` among the `active` members. Every host computes its role
/// from its own view of the membership, so views can differ: a host that does not read the store
/// refuses calls from other hosts, and a host whose sources refuse reads the store itself.
store_role chooseStoreRole(const store_roles_settings &settings, const member &self,
                           const std::vector<member> &active,
                           const std::map<zone_id, std::string> &regions);
/// Returns hosts in zones other than that of `self` which read the store, nearest first. A zone
/// that is cut off from the store learns of evacuations from them.
std::vector<endpoint> chooseFallbacks(const store_roles_settings &settings, const member &self,
                                      const std::vector<member> &active,
                                      const std::map<zone_id, std::string> &regions);

} // namespace waxwing::relay
