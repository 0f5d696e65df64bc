#pragma once

#include "core/clock.h"

#include <string>

namespace waxwing {

/// What is known about the execution of a request that was not answered.
enum class execution_state {
    /// Nothing was handed to a backend server, or it said itself that it ran nothing.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
};

/// Final answer to a request that is not served.
struct refusal
{
    /// HTTP status of the answer.
    int status = 503;
    /// Machine-readable reason, such as `overloaded`; the last part of the problem type.
    std::string code;
    /// Explanation for the caller.
    std::string detail;
    /// Whether the request ran.
    execution_state execution = execution_state::NotRun;
    /// When the caller may ask again; zero where asking again cannot help.
    std::chrono::milliseconds retryAfter{0};

    bool operator==(const refusal &) const = default;
};

} // namespace waxwing
