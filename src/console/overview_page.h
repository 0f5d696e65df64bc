#pragma once

#include "configuration/configuration.h"
#include "ctl/host_report.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace waxwing {

/// The overview as HTML: services with their coverage until the shutdown, backend servers with
/// their departures, entry hosts with their revisions.
std::string renderOverview(const absl::StatusOr<configuration> &current,
                           const std::vector<host_report> &hosts, wall_time now);

/// Revisions of the history as HTML, newest first. Consecutive revisions are compared.
std::string renderHistory(const std::vector<absl::StatusOr<configuration>> &revisions);

} // namespace waxwing
