#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace waxwing::standins {

/// Faults of the platform stand-in that last until they are switched off.
struct platform_faults
{
    /// Whether object and host calls fail.
    bool outage = false;
    /// How they fail: `unavailable` (503), `drop` (connection closed) or `hang` (no answer until
    /// the outage ends, then the connection is closed).
    std::string outageKind = "unavailable";
    /// Delay of each answer, in milliseconds.
    std::uint64_t delayMs = 0;
    /// Number of next writes that take effect but whose connection is closed without an answer.
    std::uint64_t loseAnswers = 0;
    /// Time by which `GET /hosts` lags, in milliseconds.
    std::uint64_t hostListLagMs = 0;
    /// Whether reads, waiting ones included, serve the copy before the newest.
    bool staleReads = false;

    bool operator==(const platform_faults &) const = default;

    /// These faults with the fields of `change` replaced. Fails with InvalidArgument. The field
    /// `restore_version` is accepted and ignored, because it is an action.
    absl::StatusOr<platform_faults> with(const nlohmann::json &change) const;
    /// The form that `with` takes.
    nlohmann::json toJson() const;
};

} // namespace waxwing::standins
