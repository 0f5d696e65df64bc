#include "standins/backend_faults.h"

#include "standins/json_fields.h"

namespace waxwing::standins {

absl::StatusOr<backend_faults> backend_faults::with(const nlohmann::json &change) const
{
    backend_faults result = *this;
    for (const absl::Status &status :
         {checkFieldNames(change,
                          {"server", "zone", "crash", "publish_version", "slow_factor",
                           "slow_share", "shed", "drain", "freeze", "health_lies", "health_lag_ms",
                           "truncate_replies", "wrong_request_id", "lose_replies"}),
          readField(change, "slow_factor", result.slowFactor),
          readField(change, "slow_share", result.slowShare), readField(change, "shed", result.shed),
          readField(change, "drain", result.drain), readField(change, "freeze", result.freeze),
          readField(change, "health_lies", result.healthLies),
          readField(change, "health_lag_ms", result.healthLagMs),
          readField(change, "truncate_replies", result.truncateReplies),
          readField(change, "wrong_request_id", result.wrongRequestId),
          readField(change, "lose_replies", result.loseReplies)}) {
        if (!status.ok())
            return status;
    }
    for (const double share : {result.slowShare, result.shed, result.truncateReplies,
                               result.wrongRequestId, result.loseReplies}) {
        if (share < 0 || share > 1)
            return absl::InvalidArgumentError("a share must be in 0..1");
    }
    if (result.slowFactor < 0)
        return absl::InvalidArgumentError("'slow_factor' must be 0 or more");
    return result;
}

nlohmann::json backend_faults::toJson() const
{
    return {{"slow_factor", slowFactor},
            {"slow_share", slowShare},
            {"shed", shed},
            {"drain", drain},
            {"freeze", freeze},
            {"health_lies", healthLies},
            {"health_lag_ms", healthLagMs},
            {"truncate_replies", truncateReplies},
            {"wrong_request_id", wrongRequestId},
            {"lose_replies", loseReplies}};
}

} // namespace waxwing::standins
