#include "entry/entry_parts.h"

#include "membership/urgent_facts.h"

namespace waxwing {

entry_state::parts::parts(const entry_settings &initial)
    : settings(initial), members(initial.members), documents(initial.configuration),
      backends(initial.backends, initial.zone), quarantine(initial.quarantine),
      queries(initial.queries, initial.admission), commands(initial.commands),
      poller(initial.health), stop(initial.stopNotice, initial.stopLimit)
{ }

void entry_state::parts::synchronise(reduce_context &context)
{
    if (!isStarted)
        return;
    applyFacts(context);
    const bool newDocument = documents.current().document != appliedDocument;
    if (newDocument)
        applyConfiguration(context);
    if (appliedDocument != nullptr && (newDocument || assignedVersion != members.activeVersion()))
        assignHolders(context);
    publishObservations(context);
    stop.advance(context, queries.inProgress() + commands.inProgress());
}

void entry_state::parts::applyConfiguration(reduce_context &context)
{
    const configuration_copy &current = documents.current();
    appliedDocument = current.document;
    if (appliedDocument == nullptr)
        return;
    backends.configure(*appliedDocument, context.now);
    departures.reapply(backends);
    members.setConfiguration(appliedDocument->revision, current.digest);
}

void entry_state::parts::assignHolders(reduce_context &context)
{
    assignedVersion = members.activeVersion();
    holders =
        holder_assignment::compute(*appliedDocument, members.activeMembers(), settings.routing);
    const auto changed = poller.assign(context, *appliedDocument, holders, members.self().host);
    for (const auto &[server, connections] : changed)
        backends.setConnectionLimit(server, connections);
}

void entry_state::parts::applyFacts(reduce_context &context)
{
    for (const fact &received : members.takeNewFacts()) {
        switch (received.kind) {
        case fact_kind::ServerLeaving:
            departures.onFact(context, backends, received);
            break;
        case fact_kind::RequestQuarantined:
            quarantine.onFact(received, context.now);
            break;
        case fact_kind::RequestCrash:
            // Entry hosts publish each crash.
            break;
        }
    }
}

void entry_state::parts::publishObservations(reduce_context &context)
{
    departures.onSelfReports(context, backends, members, backends.takeDrainingReports());
    for (const auto &seen : quarantine.takeObservations())
        urgent_facts::publish(context, members, fact_kind::RequestQuarantined, seen.subject,
                              seen.crashes, seen.validFor);
}

query_environment entry_state::parts::queryEnvironment()
{
    return {appliedDocument,
            backends,
            quarantine,
            [this](const service_id &service) -> const std::vector<host_id> & {
                return holders.holders(service);
            },
            members.self(),
            members.members(),
            stop.refusesRequests()};
}

command_environment entry_state::parts::commandEnvironment()
{
    return {appliedDocument.get(), backends, holders, members, stop.refusesRequests()};
}

} // namespace waxwing
