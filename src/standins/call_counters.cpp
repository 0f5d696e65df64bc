#include "standins/call_counters.h"

namespace waxwing::standins {

void call_counters::add(const std::string &group, const std::string &name, std::uint64_t amount)
{
    m_counts[group][name] += amount;
}

std::uint64_t call_counters::value(const std::string &group, const std::string &name) const
{
    const auto counters = m_counts.find(group);
    if (counters == m_counts.end())
        return 0;
    const auto counter = counters->second.find(name);
    return counter == counters->second.end() ? 0 : counter->second;
}

nlohmann::json call_counters::toJson() const
{
    return m_counts;
}

} // namespace waxwing::standins
