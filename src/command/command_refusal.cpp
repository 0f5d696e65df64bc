#include "command/command_refusal.h"

namespace waxwing {

refusal command_refusal::unknownService()
{
    return {404, "unknown-service", "the service is not configured", execution_state::NotRun, {}};
}

refusal command_refusal::notServing(const std::string &code, std::chrono::milliseconds retryAfter)
{
    return {503, code, "the host takes no commands now", execution_state::NotRun, retryAfter};
}

refusal command_refusal::platformUnavailable(std::chrono::milliseconds retryAfter)
{
    return {503, "platform-unavailable", "the command could not be claimed; this try ran nothing",
            execution_state::NotRun, retryAfter};
}

refusal command_refusal::notRun(const std::string &detail, std::chrono::milliseconds retryAfter)
{
    return {503, "not-run", detail, execution_state::NotRun, retryAfter};
}

refusal command_refusal::deadlineExceeded(std::chrono::milliseconds retryAfter)
{
    return {503, "deadline-exceeded", "the time ran out before the command was sent",
            execution_state::NotRun, retryAfter};
}

refusal command_refusal::alreadyClaimed(std::chrono::milliseconds retryAfter)
{
    return {503, "outcome-unknown", "an earlier try may have run the command",
            execution_state::OutcomeUnknown, retryAfter};
}

refusal command_refusal::outcomeUnknown(const std::string &detail,
                                        std::chrono::milliseconds retryAfter)
{
    return {504, "outcome-unknown", detail, execution_state::OutcomeUnknown, retryAfter};
}

refusal command_refusal::keyReused()
{
    return {422,
            "idempotency-key-reused",
            "the key was used for another request",
            execution_state::NotRun,
            {}};
}

} // namespace waxwing
