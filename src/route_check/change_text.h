#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::route_check {

/// Describes what changed between two entries of documents, in words.
class change_text
{
public:
    /// Adds a field if its values differ. `unit` follows the values, such as ` ms`.
    template<typename Value>
    void add(std::string_view field, const Value &before, const Value &after,
             std::string_view unit = "")
    {
        if (before != after)
            m_changes.push_back(
                fmt::format("{} from {}{} to {}{}", field, before, unit, after, unit));
    }
    /// Adds a list of texts if it differs in more than the order.
    void addList(std::string_view field, std::vector<std::string> before,
                 std::vector<std::string> after);

    bool isEmpty() const { return m_changes.empty(); }
    /// The changes, separated by commas.
    std::string text() const { return fmt::format("{}", fmt::join(m_changes, ", ")); }

private:
    std::vector<std::string> m_changes;
};

} // namespace waxwing::route_check
