#include "quota/busiest_organisations.h"

#include <algorithm>

namespace waxwing {

void busiest_organisations::count(const std::string &organisation,
                                  std::uint64_t quota_counts::*outcome)
{
    if (m_capacity == 0) {
        ++(m_others.*outcome);
        return;
    }
    // Organisations that were busy long ago give way to others.
    constexpr std::uint64_t decayInterval = 10000;
    if (++m_sinceDecay >= decayInterval)
        decay();
    if (m_counted.count(organisation) == 0 && m_counted.size() >= m_capacity)
        replaceLowest(organisation);
    counted &known = m_counted[organisation];
    ++known.rank;
    ++(known.counts.*outcome);
}

void busiest_organisations::replaceLowest(const std::string &organisation)
{
    const auto lowest = std::min_element(
        m_counted.begin(), m_counted.end(),
        [](const auto &left, const auto &right) { return left.second.rank < right.second.rank; });
    const counted replaced = lowest->second;
    m_counted.erase(lowest);
    m_others.granted += replaced.counts.granted;
    m_others.refused += replaced.counts.refused;
    m_others.noRoom += replaced.counts.noRoom;
    m_counted[organisation].rank = replaced.rank;
}

void busiest_organisations::decay()
{
    m_sinceDecay = 0;
    for (auto &[organisation, known] : m_counted)
        known.rank /= 2;
}

std::map<std::string, quota_counts> busiest_organisations::busiest() const
{
    std::map<std::string, quota_counts> result;
    for (const auto &[organisation, known] : m_counted)
        result.emplace(organisation, known.counts);
    return result;
}

} // namespace waxwing
