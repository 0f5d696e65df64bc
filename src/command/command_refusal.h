#pragma once

#include "core/refusal.h"

#include <chrono>
#include <string>

namespace waxwing {

/// Refusals of commands; each states whether this try ran anything.
class command_refusal
{
public:
    /// The service is not part of the configuration.
    static refusal unknownService();
    /// The host stops, has no configuration yet, or has too many commands in progress.
    static refusal notServing(const std::string &code, std::chrono::milliseconds retryAfter);
    /// The platform gives no usable answer, so that nothing was sent.
    static refusal platformUnavailable(std::chrono::milliseconds retryAfter);
    /// No backend server can be reached, or the one that was asked ran nothing.
    static refusal notRun(const std::string &detail, std::chrono::milliseconds retryAfter);
    /// The time ran out before anything was sent.
    static refusal deadlineExceeded(std::chrono::milliseconds retryAfter);
    /// An earlier try may have run the command.
    static refusal alreadyClaimed(std::chrono::milliseconds retryAfter);
    /// This try may have run the command.
    static refusal outcomeUnknown(const std::string &detail, std::chrono::milliseconds retryAfter);
    /// The key belongs to another request.
    static refusal keyReused();
};

} // namespace waxwing
