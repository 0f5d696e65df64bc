#include "relay/store_update_handler.h"

#include "relay/evacuation_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

std::string kindName(const store_object_kind kind)
{
    switch (kind) {
    case store_object_kind::Routes:
        return "routes";
    case store_object_kind::Servers:
        return "servers";
    case store_object_kind::Evacuations:
        break;
    }
    return "evacuations";
}

/// Names that a log line lists of each kind of change; the rest is only counted.
constexpr std::size_t maxLoggedNames = 20;

std::string firstNames(const std::vector<std::string> &names)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(names.size(), maxLoggedNames));
    return fmt::format("{}", fmt::join(names.begin(), names.begin() + count, " "));
}

bool isStale(const store_call &call)
{
    const auto *list = std::get_if<list_call>(&call.how);
    return list != nullptr && list->mayBeStale;
}

} // namespace

store_update_handler::store_update_handler(relay_state::parts &state, time_point now,
                                           relay_effect_list &effects)
    : m_parts(state), m_now(now), m_effects(effects)
{ }

std::set<service_id> store_update_handler::onCallFinished(const store_call_ended &called)
{
    store_watcher *const source = m_parts.watcherOf(called.call.kind);
    if (source == nullptr)
        return {};
    store_watcher &watcher = *source;
    const std::uint32_t failuresBefore = watcher.failures();
    const std::uint64_t eraBefore = watcher.era();
    const bool hadListed = watcher.hasListed();
    const auto update = watcher.onCallFinished(called, m_now, m_parts.random);
    logStoreAvailability(called, watcher, failuresBefore);
    if (watcher.era() > eraBefore)
        onNewEra(called.call.kind, eraBefore, hadListed);
    shareWithPeers(called, update, watcher);
    std::set<service_id> changed;
    if (update.has_value() && called.call.kind == store_object_kind::Routes)
        applyRoutes(*update);
    else if (update.has_value() && called.call.kind == store_object_kind::Servers)
        changed = applyServers(*update);
    else if (update.has_value())
        changed = evacuation_handler(m_parts, m_now, m_effects).apply(*update);
    watcher.onTick(m_now, m_effects);
    return changed;
}

void store_update_handler::onNewEra(store_object_kind kind, std::uint64_t before, bool hadListed)
{
    const std::uint64_t era = m_parts.watcherOf(kind)->era();
    for (store_watcher *each : m_parts.watchers())
        each->onEra(era, m_now);
    evacuation_handler(m_parts, m_now, m_effects).onRestore(era);
    if (!hadListed)
        return;
    m_effects.emplace_back(count_metric{"relay_store_restores_total", 1});
    appendLog(m_effects, log_level::Warning, "the store was restored from an older copy",
              {{"kind", kindName(kind)},
               {"era_before", fmt::to_string(before)},
               {"era", fmt::to_string(era)}});
}

void store_update_handler::shareWithPeers(const store_call_ended &called,
                                          const std::optional<store_update> &update,
                                          const store_watcher &watcher)
{
    const store_object_kind kind = called.call.kind;
    const std::uint64_t revision = watcher.revision();
    const bool isAnswer = std::holds_alternative<store_answer>(called.outcome);
    const bool isEarlier = isAnswer && called.era.value_or(0) < watcher.era();
    const bool failed = !isAnswer || isEarlier;
    m_parts.peerAnswers.beginEra(kind, watcher.era());
    if (isEarlier) {
        appendLog(m_effects, log_level::Warning, "ignored an answer of an earlier era of the store",
                  {{"kind", kindName(kind)},
                   {"era", called.era.has_value() ? fmt::to_string(*called.era) : "none"},
                   {"expected_era", fmt::to_string(watcher.era())},
                   {"source",
                    called.call.source.has_value() ? called.call.source->toString() : "store"}});
    }
    if (called.call.source.has_value()) {
        if (!failed)
            m_parts.peerAnswers.onSourceAnswer(kind, update, revision);
    } else if (failed) {
        m_parts.peerAnswers.onStoreFailure(kind, m_effects);
    } else if (!isStale(called.call)) {
        m_parts.peerAnswers.onStoreAnswer(kind, update, revision, m_now, m_effects);
    } else {
        m_parts.peerAnswers.onSourceAnswer(kind, update, revision);
    }
}

void store_update_handler::logStoreAvailability(const store_call_ended &called,
                                                const store_watcher &watcher,
                                                std::uint32_t failuresBefore)
{
    const store_object_kind kind = called.call.kind;
    if (watcher.failures() > 0 && std::holds_alternative<store_failure>(called.outcome))
        m_effects.emplace_back(count_metric{"relay_store_failures_total", 1});
    if (failuresBefore == 0 && watcher.failures() > 0) {
        const auto *reason = std::get_if<store_failure>(&called.outcome);
        appendLog(m_effects, log_level::Warning, "lost the store",
                  {{"kind", kindName(kind)},
                   {"reason", std::string(reason == nullptr ? "" : failureName(*reason))},
                   {"revision", fmt::to_string(watcher.revision())}});
    } else if (failuresBefore > 0 && watcher.failures() == 0) {
        appendLog(m_effects, log_level::Info, "regained the store",
                  {{"kind", kindName(kind)},
                   {"revision", fmt::to_string(watcher.revision())},
                   {"failed_calls", fmt::to_string(failuresBefore)}});
    }
}

void store_update_handler::applyRoutes(const store_update &update)
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
            applyRoutes(object, *document);
    }
}

void store_update_handler::applyRoutes(const store_object &object,
                                       const std::shared_ptr<const route_document> &document)
{
    relay_requests &requests = m_parts.requests;
    const std::uint64_t previousVersion = requests.document ? requests.document->version() : 0;
    const bool isRewrite = requests.document != nullptr && document->version() == previousVersion
        && m_parts.routes.era() > m_parts.routesEra && !(*document == *requests.document);
    if (requests.document != nullptr && document->version() <= previousVersion && !isRewrite) {
        if (document->version() < previousVersion) {
            appendLog(m_effects, log_level::Error, "ignored an older document of routes",
                      {{"version", fmt::to_string(document->version())},
                       {"in_force", fmt::to_string(previousVersion)}});
        }
        return;
    }
    requests.document = document;
    m_parts.routesEra = m_parts.routes.era();
    for (const route &each : document->routes()) {
        const auto pace = requests.routeStatistics.find(each.name);
        if (pace != requests.routeStatistics.end())
            pace->second->configure(each);
    }
    m_parts.appliedMembersVersion.reset();
    // The limits of a new document are in force with it.
    m_parts.nextMembersApplyAt = m_now;
    m_parts.members.setConfiguration(document->version(), document->version());
    m_effects.emplace_back(set_caller_limits{document->limits()});
    appendLog(m_effects, log_level::Info, "adopted routes",
              {{"version", fmt::to_string(document->version())},
               {"before", fmt::to_string(previousVersion)},
               {"era", fmt::to_string(m_parts.routesEra)},
               {"revision", fmt::to_string(object.revision)},
               {"routes", fmt::to_string(document->routes().size())}});
}

std::set<service_id> store_update_handler::applyServers(const store_update &update)
{
    leaf_pool &leaves = m_parts.requests.leaves;
    std::set<server_id> listed;
    registration_summary summary;
    std::vector<std::string> unusable;
    std::string firstReason;
    std::set<service_id> changed;
    for (const store_object &object : update.objects) {
        const auto *entry = std::get_if<registered_server>(&object.content);
        if (entry == nullptr) {
            leaves.markUnlisted({object.name}, m_now);
            const auto *reason = std::get_if<unusable_object>(&object.content);
            if (!object.removed && unusable.empty() && reason != nullptr)
                firstReason = reason->reason;
            (object.removed ? summary.removed : unusable).push_back(object.name);
            continue;
        }
        listed.insert(entry->id);
        changed.insert(entry->service);
        if (const auto oldAddress = leaves.put(*entry, m_now))
            m_effects.emplace_back(close_idle_connections{*oldAddress});
        (entry->leaving ? summary.leaving : summary.registered).push_back(object.name);
    }
    confirmCrashes();
    if (!update.isComplete)
        logRegistrations(summary);
    if (!unusable.empty()) {
        m_effects.emplace_back(count_metric{"relay_registrations_unusable_total", unusable.size()});
        appendLog(m_effects, log_level::Warning, "ignored registrations that cannot be used",
                  {{"count", fmt::to_string(unusable.size())},
                   {"first_names", firstNames(unusable)},
                   {"first_reason", firstReason}});
    }
    if (update.isComplete) {
        for (const server_id &id : leaves.ids()) {
            if (listed.count(id) == 0)
                leaves.markUnlisted(id, m_now);
        }
        appendLog(m_effects, log_level::Info, "listed backend servers",
                  {{"servers", fmt::to_string(listed.size())},
                   {"revision", fmt::to_string(m_parts.servers.revision())}});
    }
    return changed;
}

void store_update_handler::confirmCrashes()
{
    for (const std::uint64_t start : m_parts.requests.leaves.takeEnded()) {
        for (const std::uint64_t fingerprint :
             m_parts.requests.quarantine.onServerEnded(start, m_now)) {
            m_effects.emplace_back(count_metric{"relay_lost_requests_total_confirmed", 1});
            appendLog(m_effects, log_level::Info,
                      "a backend server ended after it closed a new connection",
                      {{"fingerprint", fmt::format("{:016x}", fingerprint)},
                       {"start", fmt::format("{:016x}", start)}});
        }
    }
}

void store_update_handler::logRegistrations(const registration_summary &summary)
{
    appendLog(m_effects, log_level::Info, "backend servers changed",
              {{"registered", fmt::to_string(summary.registered.size())},
               {"leaving", fmt::to_string(summary.leaving.size())},
               {"removed", fmt::to_string(summary.removed.size())},
               {"registered_servers", firstNames(summary.registered)},
               {"leaving_servers", firstNames(summary.leaving)},
               {"removed_servers", firstNames(summary.removed)},
               {"revision", fmt::to_string(m_parts.servers.revision())}});
}

void store_update_handler::removeUnlisted()
{
    for (endpoint &address : m_parts.requests.leaves.removeUnlisted(m_now))
        m_effects.emplace_back(close_idle_connections{std::move(address)});
}

void store_update_handler::updateRole()
{
    store_role role = chooseStoreRole(m_parts.settings.roles, m_parts.members.self(),
                                      m_parts.members.activeMembers(), m_parts.settings.regions);
    if (m_parts.evacuationWatcher.has_value())
        role.fallbacks = chooseFallbacks(m_parts.settings.roles, m_parts.members.self(),
                                         m_parts.members.activeMembers(), m_parts.settings.regions);
    if (role == m_parts.role)
        return;
    const bool isMoved =
        role.readsStore != m_parts.role.readsStore || role.sources != m_parts.role.sources;
    m_parts.role = role;
    for (store_watcher *each : m_parts.watchers())
        each->setRole(role, m_now);
    m_parts.peerAnswers.setReadsStore(role.readsStore);
    if (!isMoved)
        return;
    appendLog(m_effects, log_level::Info, "changed where the store is read",
              {{"reads_store", role.readsStore ? "yes" : "no"},
               {"sources", fmt::to_string(role.sources.size())},
               {"first_source", role.sources.empty() ? "" : role.sources.front().toString()}});
}

} // namespace waxwing::relay
