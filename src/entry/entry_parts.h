#pragma once

#include "backends/backend_pool.h"
#include "command/command_reducer.h"
#include "core/random.h"
#include "distribution/distribution.h"
#include "entry/departure_tracker.h"
#include "entry/entry_reducer.h"
#include "entry/entry_settings.h"
#include "entry/health_poller.h"
#include "entry/stop_sequence.h"
#include "membership/membership.h"
#include "quarantine/request_quarantine.h"
#include "query/query_reducer.h"
#include "routing/holder_assignment.h"

namespace waxwing {

/// Parts of an entry host's state and what connects them.
struct entry_state::parts
{
    explicit parts(const entry_settings &initial);

    /// Settings.
    entry_settings settings;
    /// Random engine, seeded by `started`.
    random_engine random;
    /// Last attempt number given out.
    std::uint64_t lastAttempt = 0;
    /// Members and facts.
    membership members;
    /// Configuration.
    distribution documents;
    /// Backend servers.
    backend_pool backends;
    /// Requests that crash backend servers.
    request_quarantine quarantine;
    /// Searches.
    query_reducer queries;
    /// Commands.
    command_reducer commands;
    /// Holders of services.
    holder_assignment holders;
    /// Health polls.
    health_poller poller;
    /// Leaving backend servers.
    departure_tracker departures;
    /// Graceful stop.
    stop_sequence stop;
    /// Whether `started` was handled.
    bool isStarted = false;
    /// Configuration that the other parts work with.
    std::shared_ptr<const configuration> appliedDocument;
    /// Host lists of the platform that were applied.
    std::uint64_t appliedHostLists = 0;
    /// Membership version of `holders`.
    std::uint64_t assignedVersion = 0;

    /// Brings every part up to date with the others after an event.
    void synchronise(reduce_context &context);
    /// What searches need.
    query_environment queryEnvironment();
    /// What commands need.
    command_environment commandEnvironment();

private:
    void applyConfiguration(reduce_context &context);
    void assignHolders(reduce_context &context);
    void applyFacts(reduce_context &context);
    void publishObservations(reduce_context &context);
};

} // namespace waxwing
