#pragma once

#include "core/clock.h"
#include "telemetry/log_entry.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace waxwing::relay {

/// Collects what the callbacks of one pass of the event loop spent their time on.
class pass_profile
{
public:
    /// Time of a pass from which it is logged.
    static constexpr std::chrono::milliseconds minLoggedPass{100};

    /// Adds work that was measured by itself.
    void add(std::string name, duration took);
    /// Ends the pass and returns its log line; empty if the pass was short. `events` is the number
    /// of events handled since the start of the host.
    std::optional<log_entry> finish(duration passTime, std::uint64_t events);

private:
    std::string m_longestWork;
    duration m_longestTime{};
    std::uint64_t m_eventsBefore = 0;
};

} // namespace waxwing::relay
