// Handlers of `relay_dispatch` for changes of the membership: who shares what with whom.

#include "relay/relay_dispatch.h"
#include "relay/store_update_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace waxwing::relay {

void relay_dispatch::learnFleetSize()
{
    if (!m_parts.startingHosts.has_value())
        return;
    m_parts.startingHosts->update(std::max<std::size_t>(m_parts.members.members().size(), 1),
                                  m_now);
    if (!m_parts.startingHosts->takeSettled(m_now).has_value())
        return;
    m_parts.startingHosts.reset();
    m_parts.requests.leaves.setLeastColdHosts(1, m_now);
}

void relay_dispatch::applyMembers()
{
    relay_requests &requests = m_parts.requests;
    learnFleetSize();
    if (const auto settled = m_parts.hostsToLog.takeSettled(m_now)) {
        appendLog(m_effects, log_level::Info, "hosts share connections and budgets",
                  {{"hosts", fmt::to_string(*settled)},
                   {"active", fmt::to_string(m_parts.members.activeMembers().size())}});
    }
    const std::uint64_t version = m_parts.members.activeVersion();
    if (m_parts.appliedMembersVersion == version)
        return;
    m_parts.hasMembersToApply = m_now < m_parts.nextMembersApplyAt;
    if (m_parts.hasMembersToApply)
        return;
    m_parts.nextMembersApplyAt = m_now + m_parts.settings.membersApplyInterval;
    m_parts.appliedMembersVersion = version;
    store_update_handler(m_parts, m_now, m_effects).updateRole();
    const std::size_t hostsBefore = requests.hosts;
    // Unreachable hosts are counted too: they may serve requests again before this host detects it.
    requests.hosts = std::max<std::size_t>(m_parts.members.members().size(), 1);
    std::map<service_id, std::uint32_t> limits;
    if (requests.document != nullptr) {
        for (const routed_service &service : requests.document->services())
            limits.emplace(service.id, service.connectionLimit);
        requests.leaves.setColdRates(requests.document->coldRates(), m_parts.turnPhase, m_now);
    }
    requests.leaves.setConnections(requests.hosts, std::move(limits), m_now);
    applyCoordinators();
    for (auto &[service, budget] : requests.budgets)
        budget.setHosts(requests.budgetHosts(service));
    if (requests.hosts == hostsBefore)
        return;
    m_effects.emplace_back(count_metric{"relay_host_count_changes_total", 1});
    m_parts.hostsToLog.update(requests.hosts, m_now);
}

void relay_dispatch::applyCoordinators()
{
    relay_requests &requests = m_parts.requests;
    const relay_settings &settings = m_parts.settings;
    std::map<service_id, std::uint32_t> limits;
    if (requests.document != nullptr)
        limits = requests.document->fanOutConnectionLimits();
    const auto lowest =
        std::min_element(limits.begin(), limits.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    const auto limit = lowest == limits.end() ? std::nullopt : std::optional(lowest->second);
    coordinator_set chosen = coordinator_set::choose(
        settings.coordinators, m_parts.members.activeMembers(), settings.regions, limit);
    const bool isChanged = chosen != requests.coordinators.current();
    const host_id &self = m_parts.members.self().host;
    requests.fanOutShare = coordinator_share::of(chosen, settings.coordinators, self,
                                                 requests.hosts, limit.value_or(1));
    requests.fanOutServices.clear();
    std::map<service_id, coordinator_share> shares;
    for (const auto &[service, connections] : limits) {
        requests.fanOutServices.insert(service);
        if (requests.fanOutShare.has_value())
            shares.emplace(service, *requests.fanOutShare);
    }
    requests.leaves.setShares(std::move(shares), m_now);
    requests.coordinators.update(std::move(chosen));
    if (!isChanged)
        return;
    const coordinator_set &current = requests.coordinators.current();
    appendLog(m_effects, log_level::Info, "changed who carries out fan-outs",
              {{"coordinators", fmt::to_string(current.size())},
               {"is_coordinator", current.contains(self) ? "yes" : "no"},
               {"connections",
                fmt::to_string(requests.fanOutShare ? requests.fanOutShare->connections : 0)},
               {"hosts", fmt::to_string(requests.hosts)}});
}

} // namespace waxwing::relay
