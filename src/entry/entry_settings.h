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
    /// Availability zone of this host.
    zone_id zone;
    /// Routing.
    routing_settings routing;
    /// Membership.
    membership_settings members;
    /// Configuration distribution.
    distribution_settings configuration;
    /// Backend servers.
    backend_pool_settings backends;
    /// Searches.
    query_settings queries;
    /// Admission of searches.
    admission_settings admission;
    /// Requests that crash backend servers.
    quarantine_settings quarantine;
    /// Health polls.
    health_poller_settings health;
    /// Commands.
    command_settings commands;
    /// Time between the start of a graceful stop and the refusal of new requests.
    std::chrono::milliseconds stopNotice{3000};
    /// Longest time that a graceful stop waits for requests in progress.
    std::chrono::milliseconds stopLimit{30000};

    bool operator==(const entry_settings &) const = default;
};

} // namespace waxwing
