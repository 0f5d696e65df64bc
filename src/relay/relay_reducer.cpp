#include "relay/relay_reducer.h"

#include "relay/relay_dispatch.h"

#include <utility>

namespace waxwing::relay {

relay_state relay_state::create(const relay_settings &settings)
{
    return relay_state(std::make_unique<parts>(settings));
}

relay_state::relay_state(std::unique_ptr<parts> content) : m_parts(std::move(content)) { }

relay_state::relay_state(relay_state &&) noexcept = default;
relay_state &relay_state::operator=(relay_state &&) noexcept = default;
relay_state::~relay_state() = default;

std::optional<time_point> relay_state::nextDeadline() const
{
    std::optional<time_point> earliest;
    const auto consider = [&earliest](const std::optional<time_point> &deadline) {
        if (deadline.has_value() && (!earliest.has_value() || *deadline < *earliest))
            earliest = deadline;
    };
    const relay_requests &requests = m_parts->requests;
    if (!requests.timers.empty())
        consider(requests.timers.top().first);
    consider(requests.contact.nextCheck());
    if (!requests.turns.empty())
        consider(requests.turns.top().first);
    if (!requests.abandoned.empty())
        consider(requests.abandoned.top().first);
    consider(requests.leaves.nextRemoval());
    for (const store_watcher *each : m_parts->watchers())
        consider(each->nextDeadline());
    consider(m_parts->evacuations.nextExpiry());
    consider(m_parts->returning.nextStep());
    consider(m_parts->peerAnswers.nextDeadline());
    consider(m_parts->members.nextDeadline());
    consider(m_parts->quotas.nextDeadline());
    if (m_parts->observations.has_value())
        consider(m_parts->observations->nextDeadline());
    consider(m_parts->stop.nextDeadline());
    if (m_parts->hasMembersToApply)
        consider(m_parts->nextMembersApplyAt);
    consider(m_parts->hostsToLog.nextDeadline());
    if (m_parts->startingHosts.has_value())
        consider(m_parts->startingHosts->nextDeadline());
    return earliest;
}

relay_status relay_state::status() const
{
    const relay_requests &requests = m_parts->requests;
    relay_status result;
    result.stopping = m_parts->stop.isStopping();
    result.ready = requests.document != nullptr && m_parts->hasListed() && !result.stopping;
    result.storeEra = m_parts->storeEra();
    result.evacuatedZones = requests.zones->evacuated().size();
    result.routesVersion = requests.document ? requests.document->version() : 0;
    result.servers = requests.leaves.size();
    result.hasServerContact = !requests.contact.isLost();
    result.hosts = requests.hosts;
    result.requests = requests.inProgress.size() + m_parts->quotas.waitingCount();
    result.quotas = m_parts->quotas.status();
    return result;
}

bool relay_state::isHostAddress(std::string_view address) const
{
    const auto &members = m_parts->members.members();
    return std::any_of(members.begin(), members.end(), [address](const auto &entry) {
        return entry.second.peer.address == address;
    });
}

relay_reduction relay_reducer::reduce(relay_state state, const relay_event &input)
{
    relay_effect_list effects;
    relay_dispatch dispatch(*state.m_parts, input, effects);
    if (const auto *datagram = std::get_if<datagram_received>(&input.body))
        dispatch.observeDatagram(*datagram);
    std::visit(dispatch, input.body);
    dispatch.synchronise();
    return {std::move(state), std::move(effects)};
}

} // namespace waxwing::relay
