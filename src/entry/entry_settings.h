#pragma once

#include "admission/admission_control.h"
#include "backends/backend_pool.h"
#include "command/command_reducer.h"
#include "distribution/distribution.h"
#include "entry/health_poller.h"
#include "membership/membership.h"
#include "quarantine/request_quarantine.h"
#include "query/query_settings.h"
#include "routing/holder_assignment.h"

namespace waxwing {
/// Settings of every part of an entry host's state.
struct entry_settings
{
    zone_id zone;
    routing_settings routing;
    membership_settings members;
    distribution_settings configuration;
    backend_pool_settings backends;
    query_settings queries;
    admission_settings admission;
    /// Quarantine of requests that crash backend servers.
    quarantine_settings quarantine;
    health_poller_settings health;
    command_settings commands;
    /// Time from the start of a graceful stop until new requests are refused.
    std::chrono::milliseconds stopNotice{3000};
    /// Maximum time that a graceful stop waits for requests in progress.
    std::chrono::milliseconds stopLimit{30000};

    bool operator==(const entry_settings &) const = default;
};

} // namespace waxwing
