#pragma once

#include "core/endpoint.h"
#include "settings/settings_problems.h"
#include "telemetry/log_entry.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing {

/// Smallest and largest accepted value of a number.
template<typename Number>
struct number_range
{
    /// Smallest accepted value.
    Number least;
    /// Largest accepted value.
    Number most;
};

/// One mapping of a settings file, read key by key. A key that was not read is unknown.
class settings_section
{
public:
    /// `node` is a mapping or null; `problems` must outlive the section.
    settings_section(const YAML::Node &node, std::string path, settings_problems &problems);

    /// The mapping below `key`; one without keys if it is not there.
    settings_section section(const std::string &key);
    /// Reads a value that has to be there.
    template<typename Value, typename... Limits>
    void require(const std::string &key, Value &target, Limits... limits)
    {
        if (const auto node = find(key))
            readValue(*node, key, target, limits...);
        else
            reportMissing(key);
    }
    /// Reads a value; without it `target` keeps its default.
    template<typename Value, typename... Limits>
    void read(const std::string &key, Value &target, Limits... limits)
    {
        if (const auto node = find(key))
            readValue(*node, key, target, limits...);
    }
    /// Reports keys that were not read or that are there twice.
    void finish();

private:
    std::optional<YAML::Node> find(const std::string &key);
    /// Line of the key itself; yaml-cpp places a missing value on the line after it.
    int lineOfKey(const std::string &key) const;
    std::string fieldOf(const std::string &key) const;
    void reportMissing(const std::string &key);
    void reportValue(const YAML::Node &node, const std::string &key, const std::string &expected);
    /// The text of a scalar that is not empty.
    std::optional<std::string> scalar(const YAML::Node &node);

    void readValue(const YAML::Node &node, const std::string &key, std::string &target);
    void readValue(const YAML::Node &node, const std::string &key, endpoint &target);
    void readValue(const YAML::Node &node, const std::string &key, std::vector<endpoint> &target);
    /// A mapping from texts to texts.
    void readValue(const YAML::Node &node, const std::string &key,
                   std::map<std::string, std::string> &target);
    void readValue(const YAML::Node &node, const std::string &key, log_level &target);
    void readValue(const YAML::Node &node, const std::string &key, bool &target);
    void readValue(const YAML::Node &node, const std::string &key, double &target,
                   number_range<double> range);
    void readInteger(const YAML::Node &node, const std::string &key, std::uint64_t &target,
                     number_range<std::uint64_t> range);

    template<std::unsigned_integral Number>
    void readValue(const YAML::Node &node, const std::string &key, Number &target,
                   number_range<Number> range = {0, std::numeric_limits<Number>::max()})
    {
        std::uint64_t value = target;
        readInteger(node, key, value, {range.least, range.most});
        target = static_cast<Number>(value);
    }
    /// A time is a number in the unit of its type; the key names the unit.
    template<typename Period>
    void readValue(const YAML::Node &node, const std::string &key,
                   std::chrono::duration<std::int64_t, Period> &target,
                   number_range<std::uint64_t> range)
    {
        auto value = static_cast<std::uint64_t>(target.count());
        readInteger(node, key, value, range);
        target = std::chrono::duration<std::int64_t, Period>(static_cast<std::int64_t>(value));
    }

    YAML::Node m_node;
    std::string m_path;
    settings_problems &m_problems;
    std::set<std::string> m_read;
};

} // namespace waxwing
