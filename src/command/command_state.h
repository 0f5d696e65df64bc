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

/// One command, from its arrival until its end is recorded in the claim.
struct running_command
{
    /// What the command waits for.
    enum class phase_kind {
        /// The platform's answer to the claim; nothing was sent.
        Claiming,
        /// The reply of the backend server.
        Running,
        /// The platform's answer to the end written into the claim.
        Ending,
        /// The answer of another entry host.
        Forwarded,
    };

    /// The command.
    command_request request;
    /// When the caller gets an answer at the latest.
    time_point deadline;
    /// What it waits for.
    phase_kind phase = phase_kind::Claiming;
    /// Whether the caller is gone or has its answer.
    bool isAnswered = false;
    /// Calls on the claim.
    std::optional<claim_session> claim;
    /// Backend servers that were tried and could not be connected to, and the current one last.
    std::vector<server_id> tried;
    /// When the current backend server was asked.
    time_point sentAt;
    /// Trace with the span of the request to the backend server.
    trace_context leafTrace;
    /// Failed writes of the end.
    std::uint32_t failedWrites = 0;
    /// Earliest of the deadline and the next write of the end; empty if nothing is due.
    std::optional<time_point> due;
};

/// Content of `command_reducer`.
struct command_reducer_state
{
    /// Sets when a command is looked at by `onTick`.
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
