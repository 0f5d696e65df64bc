#pragma once

#include "core/clock.h"
#include "telemetry/logger.h"

#include <cstdio>
#include <string>

namespace waxwing {

/// Settings of a `json_logger`.
struct json_logger_settings
{
    /// Entries below this level are dropped.
    log_level minimum = log_level::Info;
    /// Id of the process, in each line; empty for none.
    std::string host;

    bool operator==(const json_logger_settings &) const = default;
};

/// One JSON object for an entry, without the line end.
std::string formatLogLine(const log_entry &entry, wall_time at, const std::string &host);

/// Writes each entry as one JSON line.
class json_logger final : public logger
{
public:
    /// `time` and `stream` must outlive the logger.
    json_logger(const clock &time, json_logger_settings settings, std::FILE *stream = stderr);

    void write(const log_entry &entry) override;

private:
    const clock &m_time;
    json_logger_settings m_settings;
    std::FILE *m_stream;
};

} // namespace waxwing
