#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>

namespace waxwing::standins {

/// Faults of one simulated backend server that last until they are switched off.
struct backend_faults
{
    /// Factor on the service time of slowed requests.
    double slowFactor = 1;
    /// Share of requests that are slowed, 0..1.
    double slowShare = 1;
    /// Share of requests that are refused as `overloaded`, 0..1.
    double shed = 0;
    /// Whether new requests are refused as `draining`.
    bool drain = false;
    /// Whether the server takes requests but does nothing.
    bool freeze = false;
    /// Whether `/health` and `/load` report the opposite of the truth.
    bool healthLies = false;
    /// Time for which `/health` and `/load` repeat a report, in milliseconds.
    std::uint64_t healthLagMs = 0;
    /// Share of replies that are cut in the middle, 0..1.
    double truncateReplies = 0;
    /// Share of replies that carry another request id, 0..1.
    double wrongRequestId = 0;
    /// Share of requests that run and whose connection is closed without a reply, 0..1.
    double loseReplies = 0;

    bool operator==(const backend_faults &) const = default;

    /// These faults with the fields of `change` replaced. Fails with InvalidArgument. The fields
    /// `server`, `zone`, `crash` and `publish_version` are accepted and ignored.
    absl::StatusOr<backend_faults> with(const nlohmann::json &change) const;
    /// The form that `with` takes.
    nlohmann::json toJson() const;
};

} // namespace waxwing::standins
