#include "telemetry/bounded_logger.h"

#include "telemetry/json_logger.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace waxwing {
namespace {

/// Size from which waiting lines are passed on without waiting for the next flush.
constexpr std::size_t flushBytes = std::size_t{8} * 1024;

} // namespace

bounded_logger::bounded_logger(const clock &time, bounded_logger_settings settings, sink write)
    : m_time(time), m_settings(std::move(settings)), m_write(std::move(write))
{ }

bool bounded_logger::isAllowed(log_level level, time_point now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_usualLines = 0;
        m_lines = 0;
    }
    const bool isUsual = level <= log_level::Info;
    if (m_waiting.size() >= m_settings.waitingBytes || m_lines >= m_settings.linesPerSecond
        || (isUsual && m_usualLines >= m_settings.usualLinesPerSecond))
        return false;
    ++m_lines;
    m_usualLines += isUsual ? 1 : 0;
    return true;
}

void bounded_logger::append(const log_entry &entry)
{
    m_waiting += formatLogLine(entry, m_time.wallNow(), m_settings.host);
    m_waiting += '\n';
}

void bounded_logger::write(const log_entry &entry)
{
    if (entry.level < m_settings.minimum)
        return;
    if (!isAllowed(entry.level, m_time.now())) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_reportedDrops) {
        append({log_level::Warning,
                "log lines were dropped",
                {{"lines", std::to_string(m_dropped - m_reportedDrops)}}});
        m_reportedDrops = m_dropped;
    }
    append(entry);
    if (m_waiting.size() >= flushBytes)
        flush();
}

void bounded_logger::flush()
{
    if (m_waiting.empty())
        return;
    const std::size_t written = m_write(m_waiting);
    m_waiting.erase(0, written);
}

bounded_logger::sink descriptorSink(int descriptor)
{
    return [descriptor](std::string_view bytes) {
        std::size_t written = 0;
        while (written < bytes.size()) {
            // A pipe that is reported as writable takes PIPE_BUF bytes without blocking.
            pollfd target{descriptor, POLLOUT, 0};
            if (poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
                break;
            const std::string_view piece = bytes.substr(written, PIPE_BUF);
            const ssize_t size = ::write(descriptor, piece.data(), piece.size());
            if (size <= 0)
                break;
            written += static_cast<std::size_t>(size);
        }
        return written;
    };
}

} // namespace waxwing
