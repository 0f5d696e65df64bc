#pragma once

#include "core/endpoint.h"
#include "core/random.h"

#include <cstddef>
#include <set>
#include <vector>

namespace waxwing {

/// Addresses to probe independently of the member table, so that hosts connect at startup and after
/// a partition.
class seed_list
{
public:
    /// Keeps at most `maxListed` addresses besides those of `setFixed`.
    explicit seed_list(std::size_t maxListed);

    /// Sets the addresses from the settings, which are never dropped.
    void setFixed(const std::vector<endpoint> &addresses);
    /// Adds addresses from the platform's list. Drops the oldest ones above the limit.
    void add(const std::vector<endpoint> &addresses);
    /// Chooses up to `count` addresses that are not in `excluded`.
    std::vector<endpoint> choose(std::size_t count, const std::set<endpoint> &excluded,
                                 random_engine &random) const;

private:
    std::size_t m_maxListed;
    std::vector<endpoint> m_fixed;
    std::vector<endpoint> m_listed;
};

} // namespace waxwing
