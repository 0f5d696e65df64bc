#include "route_check/change_text.h"

#include <iterator>

namespace waxwing::route_check {
namespace {

std::vector<std::string> onlyIn(const std::vector<std::string> &from,
                                const std::vector<std::string> &other)
{
    std::vector<std::string> result;
    std::set_difference(from.begin(), from.end(), other.begin(), other.end(),
                        std::back_inserter(result));
    return result;
}

} // namespace

void change_text::addList(std::string_view field, std::vector<std::string> before,
                          std::vector<std::string> after)
{
    std::sort(before.begin(), before.end());
    std::sort(after.begin(), after.end());
    if (before == after)
        return;
    std::vector<std::string> parts;
    if (after.empty() || before.empty()) {
        const auto text = [](const std::vector<std::string> &list) {
            return list.empty() ? std::string("none") : fmt::format("{}", fmt::join(list, " "));
        };
        m_changes.push_back(fmt::format("{} from {} to {}", field, text(before), text(after)));
        return;
    }
    if (const auto added = onlyIn(after, before); !added.empty())
        parts.push_back(fmt::format("added {}", fmt::join(added, " ")));
    if (const auto removed = onlyIn(before, after); !removed.empty())
        parts.push_back(fmt::format("removed {}", fmt::join(removed, " ")));
    m_changes.push_back(fmt::format("{} ({})", field, fmt::join(parts, ", ")));
}

} // namespace waxwing::route_check
