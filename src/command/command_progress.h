#pragma once

#include "command/command_state.h"
#include "events/reduce_context.h"

namespace waxwing {

/// Advances one command by one event. Lives only while that event is handled.
class command_progress
{
public:
    command_progress(reduce_context &context, command_reducer_state &state, request_id id);

    /// Forwards the command to a holder of the service; refuses it if none is known.
    void forward(const command_environment &environment);
    /// Starts to claim the command on the platform.
    void claim(const member &self);
    /// Handles the platform's response about the claim.
    void onPlatform(command_environment &environment, const platform_result &result);
    /// Handles the reply of the backend server.
    void onLeaf(command_environment &environment, const leaf_command_finished &finished);
    /// Handles the end of a forwarded command.
    void onForwarded(const forwarded_command_finished &finished);
    /// Handles the caller's deadline, or repeats the write of the outcome.
    void onDue();

private:
    void onClaim(command_environment &environment, const claim_step &step);
    void onRecordStep(const claim_step &step);
    void send(command_environment &environment);
    void onLeafFailure(command_environment &environment, const leaf_failure &failure);
    void release();
    void callPlatform(platform_call call);
    void answer(const command_outcome &outcome);
    void erase();
    std::chrono::milliseconds timeLeft() const;

    reduce_context &m_context;
    command_reducer_state &m_state;
    request_id m_id;
    running_command &m_command;
};

} // namespace waxwing
