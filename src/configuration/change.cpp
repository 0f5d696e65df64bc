#include "configuration/change.h"

#include "configuration/checks.h"
#include "configuration/document_json.h"
#include "configuration/json_pointer.h"

#include <algorithm>

namespace waxwing {
namespace {

template<typename Element, typename Id>
auto find(std::vector<Element> &elements, const Id &id)
{
    return std::find_if(elements.begin(), elements.end(),
                        [&id](const Element &element) { return element.id == id; });
}

/// Applies an edit to a document; returns the problem if its target is not there.
class edit_application
{
public:
    explicit edit_application(configuration *document) : m_document(*document) { }

    change_problems operator()(const departure_edit &edit)
    {
        const auto found = find(m_document.servers, edit.server);
        if (found == m_document.servers.end())
            return unknown("/backend_servers", "backend server", edit.server.value);
        found->leavesAt = edit.leavesAt;
        return {};
    }

    change_problems operator()(const create_service_edit &edit)
    {
        if (find(m_document.services, edit.value.id) != m_document.services.end()) {
            return {{appendToPointer("/services", edit.value.id.value) + "/id",
                     "there is already a service '" + edit.value.id.value + "'"}};
        }
        m_document.services.push_back(edit.value);
        return {};
    }

    change_problems operator()(const change_service_edit &edit)
    {
        const auto found = find(m_document.services, edit.value.id);
        if (found == m_document.services.end())
            return unknown("/services", "service", edit.value.id.value);
        *found = edit.value;
        return {};
    }

    change_problems operator()(const remove_service_edit &edit)
    {
        const auto found = find(m_document.services, edit.id);
        if (found == m_document.services.end())
            return unknown("/services", "service", edit.id.value);
        m_document.services.erase(found);
        return {};
    }

    change_problems operator()(const policy_edit &edit)
    {
        const auto found = find(m_document.services, edit.id);
        if (found == m_document.services.end())
            return unknown("/services", "service", edit.id.value);
        found->policy = edit.policy;
        return {};
    }

    change_problems operator()(const shutdown_edit &edit)
    {
        m_document.shutdownAt = edit.shutdownAt;
        return {};
    }

    change_problems operator()(const document_edit &edit)
    {
        m_document.shutdownAt = edit.document.shutdownAt;
        m_document.zones = edit.document.zones;
        m_document.servers = edit.document.servers;
        m_document.services = edit.document.services;
        return {};
    }

private:
    static change_problems unknown(const std::string &list, const std::string &kind,
                                   const std::string &id)
    {
        return {{appendToPointer(list, id), "there is no " + kind + " '" + id + "'"}};
    }

    configuration &m_document;
};

/// Whether `before` has the shard uncovered from the same time or earlier.
bool isKnown(const uncovered_shard &found, const std::vector<uncovered_shard> &before)
{
    return std::any_of(before.begin(), before.end(), [&found](const uncovered_shard &old) {
        // An empty time means "always", which orders before every time.
        return old.service == found.service && old.generation == found.generation
            && old.shard == found.shard && old.since <= found.since;
    });
}

/// Sets `allowUncovered` where shards are uncovered and each is permitted, now or earlier.
/// Otherwise the flag stays off and the check of departures reports every uncovered shard.
void carryPermission(const configuration &current, const change_proposal &proposal,
                     configuration &next)
{
    const auto before = findUncoveredShards(current);
    const auto after = findUncoveredShards(next);
    next.allowUncovered = !after.empty()
        && (proposal.allowUncovered
            || std::all_of(after.begin(), after.end(), [&before](const uncovered_shard &found) {
                   return isKnown(found, before);
               }));
}

} // namespace

std::variant<prepared_change, change_problems> prepareChange(const configuration &current,
                                                             const change_proposal &proposal)
{
    configuration next = current;
    auto problems = std::visit(edit_application(&next), proposal.edit);
    if (!problems.empty())
        return problems;
    sortDocument(next);
    auto differences = compareConfigurations(current, next);
    if (differences.empty())
        return change_problems{{"", "nothing differs from the current configuration"}};

    next.revision = current.revision + 1;
    next.changeId = proposal.changeId;
    next.changedBy = proposal.changedBy;
    next.reason = proposal.reason;
    carryPermission(current, proposal, next);
    auto text = formatConfiguration(next);
    problems = checkConfiguration(text);
    if (problems.empty())
        return prepared_change{parseConfiguration(std::move(text)).value(),
                               compareConfigurations(current, next)};
    const auto json = writeDocument(next);
    for (auto &problem : problems)
        problem.field = withIds(problem.field, json);
    return problems;
}

} // namespace waxwing
