#include "standins/platform_faults.h"

#include "standins/json_fields.h"

namespace waxwing::standins {

absl::StatusOr<platform_faults> platform_faults::with(const nlohmann::json &change) const
{
    platform_faults result = *this;
    for (const absl::Status &status :
         {checkFieldNames(change,
                          {"outage", "outage_kind", "delay_ms", "lose_answers", "host_list_lag_ms",
                           "stale_reads", "restore_version"}),
          readField(change, "outage", result.outage),
          readField(change, "outage_kind", result.outageKind),
          readField(change, "delay_ms", result.delayMs),
          readField(change, "lose_answers", result.loseAnswers),
          readField(change, "host_list_lag_ms", result.hostListLagMs),
          readField(change, "stale_reads", result.staleReads)}) {
        if (!status.ok())
            return status;
    }
    if (result.outageKind != "unavailable" && result.outageKind != "drop"
        && result.outageKind != "hang")
        return absl::InvalidArgumentError("'outage_kind' must be 'unavailable', 'drop' or 'hang'");
    return result;
}

nlohmann::json platform_faults::toJson() const
{
    return {{"outage", outage},
            {"outage_kind", outageKind},
            {"delay_ms", delayMs},
            {"lose_answers", loseAnswers},
            {"host_list_lag_ms", hostListLagMs},
            {"stale_reads", staleReads}};
}

} // namespace waxwing::standins
