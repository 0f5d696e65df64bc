#include "telemetry/json_logger.h"

#include <absl/time/time.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace waxwing {

std::string formatLogLine(const log_entry &entry, wall_time at, const std::string &host)
{
    const auto time = absl::FromUnixMillis(at.time_since_epoch().count());
    nlohmann::ordered_json line{
        {"time", absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone())},
        {"level", logLevelName(entry.level)},
    };
    if (!host.empty())
        line["host"] = host;
    line["message"] = entry.message;
    for (const auto &[name, value] : entry.fields) {
        // A field never replaces one of the fixed ones.
        line[line.contains(name) ? name + "_" : name] = value;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

json_logger::json_logger(const clock &time, json_logger_settings settings, std::FILE *stream)
    : m_time(time), m_settings(std::move(settings)), m_stream(stream)
{ }

void json_logger::write(const log_entry &entry)
{
    if (entry.level < m_settings.minimum)
        return;
    const std::string line = formatLogLine(entry, m_time.wallNow(), m_settings.host) + "\n";
    // fmt::print throws when standard error is closed or full; a lost line must not end the
    // process.
    try {
        fmt::print(m_stream, "{}", line);
    } catch (const std::system_error &) {
        return;
    }
}

} // namespace waxwing
