#pragma once

#include "command/claim_session.h"
#include "command/command_reducer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace waxwing {

/// One command, from its arrival until its outcome is recorded in the claim.
struct running_command
{
    /// What the command waits for.
    enum class phase_kind {
        /// The platform's response to the claim; nothing was sent yet.
        Claiming,
        /// The reply of the backend server.
        Running,
        /// The platform's response to the write of the outcome.
        Recording,
        /// The response of another entry host.
        Forwarded,
    };

    command_request request;
    /// Latest time at which the caller is answered.
    time_point deadline;
    phase_kind phase = phase_kind::Claiming;
    /// Whether the caller has disconnected or was answered.
    bool isAnswered = false;
    /// Empty for a forwarded command.
    std::optional<claim_session> claim;
    /// Backend servers to which no connection could be made, followed by the current one.
    std::vector<server_id> tried;
    /// When the command was sent to the current backend server.
    time_point sentAt;
    /// Trace with the span of the request to the backend server.
    trace_context leafTrace;
    /// Failed writes of the outcome.
    std::uint32_t failedWrites = 0;
    /// The deadline or the time of the next write of the outcome; empty if nothing is due.
    std::optional<time_point> due;
};

/// Private state of `command_reducer`.
struct command_reducer_state
{
    /// Sets when `onTick` handles the command next; empty for never.
    void schedule(request_id id, running_command &command, std::optional<time_point> due)
    {
        if (command.due)
            commandsByDueTime.erase({*command.due, id});
        command.due = due;
        if (due)
            commandsByDueTime.emplace(*due, id);
    }

    command_settings settings;
    std::map<request_id, running_command> commands;
    /// Request of each call in progress.
    std::map<attempt_id, request_id> attempts;
    std::set<std::pair<time_point, request_id>> commandsByDueTime;
    std::size_t unanswered = 0;
};

} // namespace waxwing
