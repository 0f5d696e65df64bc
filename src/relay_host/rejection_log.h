#pragma once

#include "core/clock.h"
#include "core/refusal.h"
#include "http/rejection.h"
#include "memory_budget/memory_budget.h"
#include "telemetry/logger.h"
#include "telemetry/metrics_registry.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace waxwing::relay {

/// Refusal of a request for whose bytes there is no room.
refusal noRoomRefusal();

/// Counts the messages that were not passed on, by use and cause, and logs the latest sender of
/// each kind at most once in a while.
class rejection_log
{
public:
    /// Time between two log lines of one kind.
    static constexpr std::chrono::seconds logInterval{1};

    /// All must outlive the log.
    rejection_log(const clock &time, logger &log, metrics_registry &metrics);

    void add(memory_use use, const http::rejection &reason);

private:
    struct logged_kind
    {
        time_point nextAt{};
        /// Rejections since the last line.
        std::uint64_t count = 0;
    };

    const clock &m_time;
    logger &m_log;
    metrics_registry &m_metrics;
    std::map<std::pair<memory_use, http::rejection_cause>, logged_kind> m_kinds;
};

} // namespace waxwing::relay
