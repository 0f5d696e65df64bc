#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>
#include <vector>

namespace waxwing {

/// Collects everything that is wrong with a settings file, so that it is reported at once.
class settings_problems
{
public:
    /// `file` is named in each problem.
    explicit settings_problems(std::string file);

    /// Adds a problem. `line` starts at 1; `field` is the path of keys, such as `listen.admin`.
    void add(int line, std::string_view field, std::string_view expected);
    /// Ok without problems, otherwise InvalidArgument with one line for each.
    absl::Status status() const;

private:
    std::string m_file;
    std::vector<std::string> m_lines;
};

} // namespace waxwing
