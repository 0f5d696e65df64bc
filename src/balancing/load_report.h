#pragma once

#include "core/clock.h"

#include <cstdint>

namespace waxwing {

/// Load of a server, as it states in an answer.
struct load_report
{
    /// Requests that it runs.
    std::uint32_t running = 0;
    /// Requests that wait for a slot.
    std::uint32_t waiting = 0;
    /// Requests that it runs at a time.
    std::uint32_t slots = 1;
    /// How long work takes now, as a multiple of the usual time.
    double pace = 1;

    /// Whether the numbers can be those of a server. Others are errors of the server.
    bool isPlausible() const
    {
        constexpr std::uint64_t maxRunningPerSlot = 4;
        constexpr std::uint64_t maxWaitingPerSlot = 1000;
        constexpr double maxPace = 100;
        return slots > 0 && running <= maxRunningPerSlot * slots
            && waiting <= maxWaitingPerSlot * slots && pace > 0 && pace <= maxPace;
    }
    /// Time that a slot needs for the requests in the report, as a multiple of the usual processing
    /// time of one request.
    double backlog() const { return pace * (static_cast<double>(running) + waiting) / slots; }

    bool operator==(const load_report &) const = default;
};

/// Load report that a host received some time ago.
struct aged_load_report
{
    load_report load;
    /// Time since the answer with the report arrived.
    duration age{};

    bool operator==(const aged_load_report &) const = default;
};

} // namespace waxwing
