#include "membership/seed_list.h"

#include <algorithm>
#include <utility>

namespace waxwing {

seed_list::seed_list(std::size_t maxListed) : m_maxListed(maxListed) { }

void seed_list::setFixed(const std::vector<endpoint> &addresses)
{
    m_fixed = addresses;
}

void seed_list::add(const std::vector<endpoint> &addresses)
{
    const std::set<endpoint> known(m_listed.begin(), m_listed.end());
    for (const endpoint &address : addresses) {
        if (known.count(address) == 0)
            m_listed.push_back(address);
    }
    if (m_listed.size() > m_maxListed) {
        const auto surplus = static_cast<std::ptrdiff_t>(m_listed.size() - m_maxListed);
        m_listed.erase(m_listed.begin(), m_listed.begin() + surplus);
    }
}

std::vector<endpoint> seed_list::choose(std::size_t count, const std::set<endpoint> &excluded,
                                        random_engine &random) const
{
    std::set<endpoint> unique(m_fixed.begin(), m_fixed.end());
    unique.insert(m_listed.begin(), m_listed.end());
    std::vector<endpoint> chosen;
    for (const endpoint &address : unique) {
        if (excluded.count(address) == 0)
            chosen.push_back(address);
    }
    count = std::min(count, chosen.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto left = static_cast<std::uint32_t>(chosen.size() - i);
        std::swap(chosen[i], chosen[i + random(left)]);
    }
    chosen.resize(count);
    return chosen;
}

} // namespace waxwing
