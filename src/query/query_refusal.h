#pragma once

#include "core/refusal.h"

#include <chrono>
#include <string>

namespace waxwing {

/// Refusals of searches; each states whether anything was run.
class query_refusal
{
public:
    /// The service is not part of the configuration.
    static refusal unknownService();
    /// The host stops or has no configuration yet.
    static refusal notServing(const std::string &code, std::chrono::milliseconds retryAfter);
    /// Too much work in progress, of the caller or of everybody.
    static refusal overloaded(bool callerOverShare, std::chrono::milliseconds retryAfter);
    /// The request crashed backend servers.
    static refusal quarantined(execution_state execution, std::chrono::milliseconds retryAfter);
    /// A backend server was lost with the request in progress, and the request is not tried again.
    static refusal suspected(std::chrono::milliseconds retryAfter);
    /// The snapshot of the cursor is no longer available.
    static refusal snapshotGone();
    /// No data can be reached.
    static refusal unavailable(execution_state execution, std::chrono::milliseconds retryAfter);
    /// No part was answered in time.
    static refusal deadlineExceeded(execution_state execution,
                                    std::chrono::milliseconds retryAfter);
};

} // namespace waxwing
