#pragma once

#include "configuration/configuration.h"
#include "core/strong_id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwing {

/// Assignment of a service to a host, as indexes into the lists passed to `zone_assignment`.
struct service_placement
{
    std::size_t service = 0;
    std::size_t host = 0;
};

/// Balanced assignment of the services to the hosts of one zone.
///
/// Visits all pairs of service and host in the order of their rendezvous rank and assigns them,
/// first until each host holds one service, then two, and so on. Ranking the pairs of all services
/// together rather than service by service halves the number of placements that change when a host
/// joins or leaves.
class zone_assignment
{
public:
    /// Assigns `wanted[i]` of `hosts` to `services[i]`, or all hosts if there are fewer.
    zone_assignment(const std::vector<service> &services, const std::vector<std::size_t> &wanted,
                    const std::vector<host_id> &hosts);

    /// Assigned placements, sorted by service and then by host.
    std::vector<service_placement> placements() const;

private:
    struct ranked_pair
    {
        std::uint64_t rank;
        service_placement at;
    };

    std::vector<ranked_pair> rankPairs(const std::vector<service> &services,
                                       const std::vector<host_id> &hosts) const;
    void fillLevel(const std::vector<ranked_pair> &pairs, std::size_t level);
    void balance();
    bool isAssigned(std::size_t service, std::size_t host) const;
    void set(std::size_t service, std::size_t host, bool taken);

    std::size_t m_hostCount = 0;
    std::size_t m_missing = 0;
    std::vector<std::size_t> m_unassigned;
    std::vector<std::size_t> m_load;
    std::vector<bool> m_assigned;
};

} // namespace waxwing
