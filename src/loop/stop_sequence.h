#pragma once

#include "events/reduce_context.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace waxwing {

/// Graceful shutdown: notice period, drain with refusal of new requests, exit.
class stop_sequence
{
public:
    /// Time without requests in progress before the exit. Requests that arrived before the
    /// connections of callers were closed are read within it.
    static constexpr std::chrono::milliseconds idleTime{200};

    /// `notice` is the time during which new requests are still served, `limit` the longest wait
    /// for requests in progress after that.
    stop_sequence(std::chrono::milliseconds notice, std::chrono::milliseconds limit);

    /// Starts the shutdown. Returns false if it was already started.
    bool begin(time_point now);
    /// Performs the steps that are due. Called after every event.
    void advance(reduce_context &context, std::size_t requestsInProgress);
    /// When the process exits at the latest; empty unless it is stopping.
    std::optional<time_point> exitBy() const;
    /// Time at which `advance` must next be called.
    std::optional<time_point> nextDeadline() const;

    bool isStopping() const { return m_step != step_kind::Running; }
    /// Whether the process is about to exit. What it begins now is cut off.
    bool hasEnded() const { return m_step == step_kind::Exited; }
    bool refusesRequests() const
    {
        return m_step == step_kind::Draining || m_step == step_kind::Exited;
    }

private:
    enum class step_kind { Running, Notice, Draining, Exited };

    std::chrono::milliseconds m_notice;
    std::chrono::milliseconds m_limit;
    step_kind m_step = step_kind::Running;
    time_point m_stepDeadline;
    /// Since when no request is in progress while draining; empty while there is one.
    std::optional<time_point> m_idleSince;
};

} // namespace waxwing
