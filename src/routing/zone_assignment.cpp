#include "routing/zone_assignment.h"

#include "core/hash.h"

#include <algorithm>

namespace waxwing {

zone_assignment::zone_assignment(const std::vector<service> &services,
                                 const std::vector<std::size_t> &wanted,
                                 const std::vector<host_id> &hosts)
    : m_hostCount(hosts.size()), m_load(hosts.size()), m_assigned(services.size() * hosts.size())
{
    for (const std::size_t count : wanted) {
        m_unassigned.push_back(std::min(count, hosts.size()));
        m_missing += m_unassigned.back();
    }
    const std::vector<ranked_pair> pairs = rankPairs(services, hosts);
    for (std::size_t level = 1; m_missing > 0; ++level)
        fillLevel(pairs, level);
    balance();
}

std::vector<zone_assignment::ranked_pair>
zone_assignment::rankPairs(const std::vector<service> &services,
                           const std::vector<host_id> &hosts) const
{
    std::vector<ranked_pair> pairs;
    pairs.reserve(services.size() * hosts.size());
    for (std::size_t i = 0; i < services.size(); ++i) {
        const std::uint64_t seed = stableHash(services[i].id.value);
        for (std::size_t j = 0; j < hosts.size(); ++j)
            pairs.push_back({stableHash(hosts[j].value, seed), {i, j}});
    }
    // The stable sort breaks ties by initial order, so that equal ranks give the same result on
    // every host.
    std::stable_sort(
        pairs.begin(), pairs.end(),
        [](const ranked_pair &left, const ranked_pair &right) { return left.rank > right.rank; });
    return pairs;
}

void zone_assignment::fillLevel(const std::vector<ranked_pair> &pairs, std::size_t level)
{
    for (const ranked_pair &each : pairs) {
        const auto [service, host] = each.at;
        if (m_unassigned[service] > 0 && m_load[host] < level && !isAssigned(service, host)) {
            set(service, host, true);
            --m_unassigned[service];
            --m_missing;
        }
    }
}

void zone_assignment::balance()
{
    // A host below the level may already hold every service that still needs hosts, which leaves
    // the load uneven. Each move lowers the sum of the squared loads, so the loop terminates.
    while (m_hostCount > 0) {
        const auto [least, most] = std::minmax_element(m_load.begin(), m_load.end());
        if (*most - *least <= 1)
            return;
        const auto to = static_cast<std::size_t>(least - m_load.begin());
        const auto from = static_cast<std::size_t>(most - m_load.begin());
        std::size_t service = 0;
        while (!isAssigned(service, from) || isAssigned(service, to))
            ++service;
        set(service, from, false);
        set(service, to, true);
    }
}

std::vector<service_placement> zone_assignment::placements() const
{
    std::vector<service_placement> result;
    for (std::size_t index = 0; index < m_assigned.size(); ++index) {
        if (m_assigned[index])
            result.push_back({index / m_hostCount, index % m_hostCount});
    }
    return result;
}

bool zone_assignment::isAssigned(std::size_t service, std::size_t host) const
{
    return m_assigned[service * m_hostCount + host];
}

void zone_assignment::set(std::size_t service, std::size_t host, bool taken)
{
    m_assigned[service * m_hostCount + host] = taken;
    if (taken)
        ++m_load[host];
    else
        --m_load[host];
}

} // namespace waxwing
