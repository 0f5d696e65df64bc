#include "relay/store_adoption.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace waxwing::relay {
namespace {

std::string idOf(const followed_kind kind)
{
    return kind == followed_kind::Routes ? "routes" : "servers";
}

} // namespace

store_adoption::store_adoption(relay_state::parts &state, time_point now,
                               relay_effect_list &effects)
    : m_parts(state), m_now(now), m_effects(effects)
{ }

std::set<service_id> store_adoption::onCalled(const store_call_ended &called)
{
    store_follower &follower =
        called.call.kind == followed_kind::Routes ? m_parts.routes : m_parts.servers;
    const std::uint32_t failuresBefore = follower.failures();
    const auto update = follower.onCalled(called, m_now, m_parts.random);
    logState(called, follower, failuresBefore);
    if (!called.call.source.has_value()) {
        if (std::holds_alternative<store_failure>(called.outcome))
            m_parts.peerAnswers.onStoreFailure(called.call.kind, m_effects);
        else
            m_parts.peerAnswers.onStoreAnswer(called.call.kind, update, follower.revision(), m_now,
                                              m_effects);
    }
    std::set<service_id> changed;
    if (update.has_value() && called.call.kind == followed_kind::Routes)
        adoptRoutes(*update);
    else if (update.has_value())
        changed = adoptServers(*update);
    follower.onTick(m_now, m_effects);
    return changed;
}

void store_adoption::logState(const store_call_ended &called, const store_follower &follower,
                              std::uint32_t failuresBefore)
{
    const followed_kind kind = called.call.kind;
    if (follower.failures() > 0)
        m_effects.emplace_back(count_metric{"relay_store_failures_total", 1});
    if (failuresBefore == 0 && follower.failures() > 0) {
        const auto *reason = std::get_if<store_failure>(&called.outcome);
        appendLog(m_effects, log_level::Warning, "lost the store",
                  {{"kind", idOf(kind)},
                   {"reason", std::string(reason == nullptr ? "" : failureName(*reason))},
                   {"revision", fmt::to_string(follower.revision())}});
    } else if (failuresBefore > 0 && follower.failures() == 0) {
        appendLog(m_effects, log_level::Info, "regained the store",
                  {{"kind", idOf(kind)},
                   {"revision", fmt::to_string(follower.revision())},
                   {"failed_calls", fmt::to_string(failuresBefore)}});
    }
}

void store_adoption::adoptRoutes(const store_update &update)
{
    for (const store_object &object : update.objects) {
        if (const auto *unusable = std::get_if<unusable_object>(&object.content)) {
            appendLog(m_effects, log_level::Error, "ignored a document of routes",
                      {{"name", object.name},
                       {"revision", fmt::to_string(object.revision)},
                       {"reason", object.removed ? "removed" : unusable->reason}});
            continue;
        }
        const auto *document = std::get_if<std::shared_ptr<const route_document>>(&object.content);
        if (document != nullptr)
            adoptRoutes(object, *document);
    }
}

void store_adoption::adoptRoutes(const store_object &object,
                                 const std::shared_ptr<const route_document> &document)
{
    relay_requests &requests = m_parts.requests;
    const std::uint64_t before = requests.document ? requests.document->version() : 0;
    if (requests.document != nullptr && document->version() <= before) {
        if (document->version() < before) {
            appendLog(m_effects, log_level::Error, "ignored an older document of routes",
                      {{"version", fmt::to_string(document->version())},
                       {"in_force", fmt::to_string(before)}});
        }
        return;
    }
    requests.document = document;
    for (const route &each : document->routes()) {
        const auto pace = requests.routeStatistics.find(each.name);
        if (pace != requests.routeStatistics.end())
            pace->second->configure(each);
    }
    m_parts.appliedMembersVersion.reset();
    m_parts.members.setConfiguration(document->version(), document->version());
    m_effects.emplace_back(set_caller_limits{document->limits()});
    appendLog(m_effects, log_level::Info, "adopted routes",
              {{"version", fmt::to_string(document->version())},
               {"before", fmt::to_string(before)},
               {"revision", fmt::to_string(object.revision)},
               {"routes", fmt::to_string(document->routes().size())}});
}

std::set<service_id> store_adoption::adoptServers(const store_update &update)
{
    leaf_pool &leaves = m_parts.requests.leaves;
    std::set<server_id> listed;
    std::size_t unusable = 0;
    std::set<service_id> changed;
    for (const store_object &object : update.objects) {
        const auto *entry = std::get_if<registered_server>(&object.content);
        if (entry == nullptr) {
            leaves.markUnlisted({object.name}, m_now);
            unusable += object.removed ? 0 : 1;
            if (object.removed)
                appendLog(m_effects, log_level::Info, "backend server is not registered any more",
                          {{"server", object.name}, {"revision", fmt::to_string(object.revision)}});
            continue;
        }
        listed.insert(entry->id);
        changed.insert(entry->service);
        if (const auto before = leaves.put(*entry, m_now))
            m_effects.emplace_back(close_idle_connections{*before});
        if (!update.isComplete)
            logRegistration(*entry, object.revision);
    }
    if (unusable > 0)
        appendLog(m_effects, log_level::Warning, "ignored registrations that cannot be used",
                  {{"count", fmt::to_string(unusable)}});
    if (update.isComplete) {
        for (const server_id &known : leaves.ids()) {
            if (listed.count(known) == 0)
                leaves.markUnlisted(known, m_now);
        }
        appendLog(m_effects, log_level::Info, "listed backend servers",
                  {{"servers", fmt::to_string(listed.size())},
                   {"revision", fmt::to_string(m_parts.servers.revision())}});
    }
    return changed;
}

void store_adoption::logRegistration(const registered_server &entry, std::uint64_t revision)
{
    appendLog(m_effects, log_level::Info, "backend server registered",
              {{"server", entry.id.value},
               {"service", entry.service.value},
               {"address", entry.address.toString()},
               {"leaving", entry.leaving ? "yes" : "no"},
               {"revision", fmt::to_string(revision)}});
}

void store_adoption::removeUnlisted()
{
    for (endpoint &address : m_parts.requests.leaves.removeUnlisted(m_now))
        m_effects.emplace_back(close_idle_connections{std::move(address)});
}

void store_adoption::applyRole()
{
    const store_role role =
        chooseStoreRole(m_parts.settings.roles, m_parts.members.self(),
                        m_parts.members.activeMembers(), m_parts.settings.regions);
    if (role == m_parts.role)
        return;
    m_parts.role = role;
    m_parts.routes.setRole(role, m_now);
    m_parts.servers.setRole(role, m_now);
    m_parts.peerAnswers.setReadsStore(role.readsStore);
    appendLog(m_effects, log_level::Info, "changed where the store is read",
              {{"reads_store", role.readsStore ? "yes" : "no"},
               {"sources", fmt::to_string(role.sources.size())},
               {"first_source", role.sources.empty() ? "" : role.sources.front().toString()}});
}

} // namespace waxwing::relay
