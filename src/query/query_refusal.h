#pragma once

#include "core/refusal.h"

#include <chrono>
#include <string>

namespace waxwing {

/// Creates the refusals of searches. Each states whether a backend server may have run a part.
class query_refusal
{
public:
    /// 404: the service is not part of the configuration.
    static refusal unknownService();
    /// 503: the host is stopping or has no configuration yet; `code` says which.
    static refusal notServing(const std::string &code, std::chrono::milliseconds retryAfter);
    /// 429 if the caller exceeds its share of the searches in progress, 503 if this host is
    /// overloaded.
    static refusal overloaded(bool callerOverShare, std::chrono::milliseconds retryAfter);
    /// 503: the request is in quarantine because it crashed backend servers.
    static refusal quarantined(execution_state execution, std::chrono::milliseconds retryAfter);
    /// 504: a backend server was lost while it ran the request. The request is suspected of having
    /// crashed the server and is not retried.
    static refusal suspected(std::chrono::milliseconds retryAfter);
    /// 410: the snapshot of the cursor is no longer available.
    static refusal snapshotGone();
    /// No shard was answered: 504 if a backend server may have run the request, otherwise 503.
    static refusal unavailable(execution_state execution, std::chrono::milliseconds retryAfter);
    /// No shard was answered before the deadline: 504 if a backend server may have run the request,
    /// otherwise 503.
    static refusal deadlineExceeded(execution_state execution,
                                    std::chrono::milliseconds retryAfter);
};

} // namespace waxwing
