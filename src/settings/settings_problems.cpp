#include "settings/settings_problems.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

namespace waxwing {

settings_problems::settings_problems(std::string file) : m_file(std::move(file)) { }

void settings_problems::add(int line, std::string_view field, std::string_view expected)
{
    if (field.empty())
        m_lines.push_back(fmt::format("{}:{}: {}", m_file, line, expected));
    else
        m_lines.push_back(fmt::format("{}:{}: {}: {}", m_file, line, field, expected));
}

absl::Status settings_problems::status() const
{
    if (m_lines.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrJoin(m_lines, "\n"));
}

} // namespace waxwing
