#pragma once

#include "relay/quota_status.h"

#include <string>

namespace waxwing::relay {

/// Appends the gauges and the counters of single organisations to the text of the metrics page.
/// Appends nothing if there are no quotas.
void renderQuotaMetrics(std::string &text, const quota_status &status, time_point now);

} // namespace waxwing::relay
