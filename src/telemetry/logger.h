#pragma once

#include "telemetry/log_entry.h"

#include <optional>
#include <string_view>

namespace waxwing {

/// Destination of log entries. Tests replace it to capture them.
class logger
{
public:
    virtual ~logger() = default;
    /// Writes one entry, or drops it if its level is below the minimum.
    virtual void write(const log_entry &entry) = 0;
};

/// Name of a level as in settings and log lines, such as `warning`.
std::string_view logLevelName(log_level level);

/// The level with this name, if there is one.
std::optional<log_level> parseLogLevel(std::string_view name);

} // namespace waxwing
