#pragma once

#include "core/refusal.h"

#include <chrono>
#include <string>

namespace waxwing {

/// Creates refusals of commands; each states whether this attempt ran the command.
class command_refusal
{
public:
    /// The service is not part of the configuration.
    static refusal unknownService();
    /// The host is stopping, has no configuration yet, or has too many commands in progress.
    static refusal notServing(const std::string &code, std::chrono::milliseconds retryAfter);
    /// The platform sent no usable response, so that nothing was sent to a backend server.
    static refusal platformUnavailable(std::chrono::milliseconds retryAfter);
    /// No backend server is reachable, or the chosen one did not run the command.
    static refusal notRun(const std::string &detail, std::chrono::milliseconds retryAfter);
    /// The deadline passed before anything was sent.
    static refusal deadlineExceeded(std::chrono::milliseconds retryAfter);
    /// An earlier attempt may have run the command.
    static refusal alreadyClaimed(std::chrono::milliseconds retryAfter);
    /// This attempt may have run the command.
    static refusal outcomeUnknown(const std::string &detail, std::chrono::milliseconds retryAfter);
    /// The idempotency key was already used for another request.
    static refusal keyReused();
};

} // namespace waxwing
