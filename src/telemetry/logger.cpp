#include "telemetry/logger.h"

namespace waxwing {

std::string_view logLevelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "error";
}

std::optional<log_level> parseLogLevel(std::string_view name)
{
    for (const auto level :
         {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error}) {
        if (logLevelName(level) == name)
            return level;
    }
    return std::nullopt;
}

} // namespace waxwing
