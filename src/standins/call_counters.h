#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace waxwing::standins {

/// Named counters in groups.
class call_counters
{
public:
    /// Adds `amount` to the counter `name` of `group`.
    void add(const std::string &group, const std::string &name, std::uint64_t amount = 1);
    /// Value of a counter, 0 if nothing was counted.
    std::uint64_t value(const std::string &group, const std::string &name) const;
    /// `{group: {name: count}}`.
    nlohmann::json toJson() const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counts;
};

} // namespace waxwing::standins
