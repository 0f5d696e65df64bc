#pragma once

#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// Weight of a log entry.
enum class log_level { Debug, Info, Warning, Error };

/// Line of the log as data.
struct log_entry
{
    /// Weight.
    log_level level = log_level::Info;
    /// Constant text; variable parts go into `fields`.
    std::string message;
    /// Named values.
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const log_entry &) const = default;
};

} // namespace waxwing
