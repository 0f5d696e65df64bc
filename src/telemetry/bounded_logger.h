#pragma once

#include "core/clock.h"
#include "telemetry/logger.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace waxwing {

/// Limits of a `bounded_logger`.
struct bounded_logger_settings
{
    /// Entries below this level are dropped.
    log_level minimum = log_level::Info;
    /// Id of the process, in each line; empty for none.
    std::string host{};
    /// Lines of level Info or below in a second; enough for the requests of a calm day.
    std::uint32_t usualLinesPerSecond = 60;
    /// Lines of all levels in a second.
    std::uint32_t linesPerSecond = 200;
    /// Bytes that wait for the reader of the log at most.
    std::size_t waitingBytes = std::size_t{128} * 1024;

    bool operator==(const bounded_logger_settings &) const = default;
};

/// Writes JSON lines without ever blocking. Lines beyond the limits are dropped; the next line that
/// is written says how many.
class bounded_logger final : public logger
{
public:
    /// Takes bytes and returns how many of them it took, without blocking.
    using sink = std::function<std::size_t(std::string_view)>;

    /// `time` must outlive the logger.
    bounded_logger(const clock &time, bounded_logger_settings settings, sink write);

    void write(const log_entry &entry) override;
    /// Passes waiting lines on, as many as the sink takes.
    void flush();
    /// Lines dropped so far.
    std::uint64_t dropped() const { return m_dropped; }

private:
    bool isAllowed(log_level level, time_point now);
    void append(const log_entry &entry);

    const clock &m_time;
    bounded_logger_settings m_settings;
    sink m_write;
    std::string m_waiting;
    time_point m_second{};
    std::uint32_t m_usualLines = 0;
    std::uint32_t m_lines = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDrops = 0;
};

/// Sink for a descriptor such as standard output. Takes nothing while the reader does not read.
bounded_logger::sink descriptorSink(int descriptor);

} // namespace waxwing
