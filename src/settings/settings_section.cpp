#include "settings/settings_section.h"

#include "telemetry/logger.h"

#include <charconv>
#include <cmath>

namespace waxwing {
namespace {

int lineOf(const YAML::Node &node)
{
    return std::max(node.Mark().line, 0) + 1;
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

settings_section::settings_section(const YAML::Node &node, std::string path,
                                   settings_problems &problems)
    : m_node(node), m_path(std::move(path)), m_problems(problems)
{
    if (m_node.IsMap() || m_node.IsNull())
        return;
    m_problems.add(lineOf(m_node), m_path, "expected a mapping of keys to values");
    m_node = YAML::Node(YAML::NodeType::Null);
}

settings_section settings_section::section(const std::string &key)
{
    const auto node = find(key);
    return {node ? *node : YAML::Node(YAML::NodeType::Null), fieldOf(key), m_problems};
}

void settings_section::finish()
{
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "(not a name)";
        if (!m_read.contains(key))
            m_problems.add(lineOf(entry.first), fieldOf(key), "unknown key");
        else if (!seen.insert(key).second)
            m_problems.add(lineOf(entry.first), fieldOf(key), "expected once, found again");
    }
}

std::optional<YAML::Node> settings_section::find(const std::string &key)
{
    m_read.insert(key);
    for (const auto &entry : m_node) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return entry.second;
    }
    return std::nullopt;
}

int settings_section::lineOfKey(const std::string &key) const
{
    for (const auto &entry : m_node) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key)
            return lineOf(entry.first);
    }
    return lineOf(m_node);
}

std::string settings_section::fieldOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void settings_section::reportMissing(const std::string &key)
{
    m_problems.add(lineOf(m_node), fieldOf(key), "expected a value, found none");
}

void settings_section::reportValue(const YAML::Node &node, const std::string &key,
                                   const std::string &expected)
{
    const std::string found = node.IsScalar() ? "'" + node.Scalar() + "'"
        : node.IsNull()                       ? "nothing"
                                              : "a list or mapping";
    m_problems.add(node.IsNull() ? lineOfKey(key) : lineOf(node), fieldOf(key),
                   "expected " + expected + ", found " + found);
}

std::optional<std::string> settings_section::scalar(const YAML::Node &node)
{
    if (!node.IsScalar() || node.Scalar().empty())
        return std::nullopt;
    return node.Scalar();
}

void settings_section::readValue(const YAML::Node &node, const std::string &key,
                                 std::string &target)
{
    if (const auto text = scalar(node))
        target = *text;
    else
        reportValue(node, key, "a text");
}

void settings_section::readValue(const YAML::Node &node, const std::string &key, endpoint &target)
{
    const auto parsed = endpoint::parse(scalar(node).value_or(""));
    if (parsed.ok())
        target = *parsed;
    else
        reportValue(node, key, "an endpoint a.b.c.d:port");
}

void settings_section::readValue(const YAML::Node &node, const std::string &key,
                                 std::vector<endpoint> &target)
{
    if (!node.IsSequence()) {
        reportValue(node, key, "a list of endpoints a.b.c.d:port");
        return;
    }
    target.clear();
    for (const auto &element : node)
        readValue(element, key, target.emplace_back());
}

void settings_section::readValue(const YAML::Node &node, const std::string &key,
                                 std::map<std::string, std::string> &target)
{
    if (!node.IsMap()) {
        reportValue(node, key, "a mapping from texts to texts");
        return;
    }
    target.clear();
    for (const auto &element : node) {
        const auto name = scalar(element.first);
        const auto value = scalar(element.second);
        if (name && value)
            target.emplace(*name, *value);
        else
            reportValue(element.second, key, "a mapping from texts to texts");
    }
}

void settings_section::readValue(const YAML::Node &node, const std::string &key, log_level &target)
{
    if (const auto level = parseLogLevel(scalar(node).value_or("")))
        target = *level;
    else
        reportValue(node, key, "debug, info, warning or error");
}

void settings_section::readValue(const YAML::Node &node, const std::string &key, bool &target)
{
    const std::string text = scalar(node).value_or("");
    if (text == "true" || text == "false")
        target = text == "true";
    else
        reportValue(node, key, "true or false");
}

void settings_section::readValue(const YAML::Node &node, const std::string &key, double &target,
                                 number_range<double> range)
{
    const auto value = parseNumber<double>(scalar(node).value_or(""));
    if (value && std::isfinite(*value) && *value >= range.least && *value <= range.most)
        target = *value;
    else
        reportValue(node, key, fmt::format("a number from {} to {}", range.least, range.most));
}

void settings_section::readInteger(const YAML::Node &node, const std::string &key,
                                   std::uint64_t &target, number_range<std::uint64_t> range)
{
    const auto value = parseNumber<std::uint64_t>(scalar(node).value_or(""));
    if (value && *value >= range.least && *value <= range.most)
        target = *value;
    else
        reportValue(node, key,
                    fmt::format("a whole number from {} to {}", range.least, range.most));
}

} // namespace waxwing
