#pragma once

#include "events/reduce_context.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace waxwing {

/// Steps of a graceful stop: notice period, refusal of new requests, exit.
class stop_sequence
{
public:
    /// `notice` is the time in which new requests are still served, `limit` the longest wait for
    /// requests in progress after that.
    stop_sequence(std::chrono::milliseconds notice, std::chrono::milliseconds limit);

    /// Begins to stop. Returns false if that was already the case.
    bool begin(time_point now);
    /// Takes the steps that are due; called after every event.
    void advance(reduce_context &context, std::size_t requestsInProgress);
    /// When `advance` is next due.
    std::optional<time_point> nextDeadline() const;

    /// Whether the host is stopping.
    bool isStopping() const { return m_step != step_kind::Running; }
    /// Whether new requests are refused.
    bool refusesRequests() const
    {
        return m_step == step_kind::Finishing || m_step == step_kind::Exited;
    }

private:
    enum class step_kind { Running, Notice, Finishing, Exited };

    std::chrono::milliseconds m_notice;
    std::chrono::milliseconds m_limit;
    step_kind m_step = step_kind::Running;
    time_point m_stepEnd;
};

} // namespace waxwing
