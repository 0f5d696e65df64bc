#pragma once

namespace waxwing {

/// Exit codes of `waxwingctl`.
enum class exit_code {
    /// Done.
    Ok = 0,
    /// Refused, in conflict with another change, or not in force everywhere.
    Refused = 1,
    /// Wrong usage.
    Usage = 2,
    /// The platform, or every entry host, cannot be reached, or the outcome is not known.
    Unreachable = 3,
};

} // namespace waxwing
