#pragma once

#include "backends/backend_pool.h"
#include "command/command_reducer.h"
#include "core/random.h"
#include "distribution/distribution.h"
#include "entry/departure_tracker.h"
#include "entry/entry_reducer.h"
#include "entry/entry_settings.h"
#include "entry/health_poller.h"
#include "loop/stop_sequence.h"
#include "membership/membership.h"
#include "quarantine/request_quarantine.h"
#include "query/query_reducer.h"
#include "routing/holder_assignment.h"

namespace waxwing {
/// Parts of an entry host's state and the data that they exchange.
struct entry_state::parts
{
    explicit parts(const entry_settings &initial);

    entry_settings settings;
    /// Seeded by `started`, so that a recorded run can be replayed.
    random_engine random;
    /// Last attempt number that was assigned.
    std::uint64_t lastAttempt = 0;
    /// Gossip members and facts.
    membership members;
    /// Distribution of the configuration.
    distribution documents;
    backend_pool backends;
    /// Quarantine of requests that crash backend servers.
    request_quarantine quarantine;
    query_reducer queries;
    command_reducer commands;
    /// Which hosts hold which services.
    holder_assignment holders;
    health_poller poller;
    departure_tracker departures;
    stop_sequence stop;
    /// Whether `started` was handled; ticks before it are ignored.
    bool isStarted = false;
    /// Configuration that was applied to the other parts; null before the first one.
    std::shared_ptr<const configuration> appliedDocument;
    /// Number of host lists of the platform that were applied.
    std::uint64_t appliedHostLists = 0;
    /// Membership version that `holders` was computed from.
    std::uint64_t assignedVersion = 0;

    /// Propagates changes between the parts. Called after each event.
    void synchronise(reduce_context &context);
    /// References into this state for one call; must not be stored.
    query_environment queryEnvironment();
    /// References into this state for one call; must not be stored.
    command_environment commandEnvironment();

private:
    void applyConfiguration(reduce_context &context);
    void assignHolders(reduce_context &context);
    void applyFacts(reduce_context &context);
    void publishObservations(reduce_context &context);
};

} // namespace waxwing
