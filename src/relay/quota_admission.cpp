#include "relay/quota_admission.h"

#include "core/hash.h"
#include "membership/gossip_size.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwing::relay {
namespace {

using message_kind = gossip_message::message_kind;
using kind_type = quota_decision::kind_type;

/// Time between two looks at the known hosts. While a fleet starts, they change all the time.
constexpr std::chrono::milliseconds membersInterval{200};
/// The same for a host that starts.
constexpr std::chrono::milliseconds startMembersInterval{30};
/// Retry delay sent to callers while this host cannot decide; their next request reaches another.
constexpr std::chrono::milliseconds otherHostRetry{20};
/// Time after the start of a whole fleet in which its hosts learn the quotas. In six starts of 75
/// hosts, 115 of 156 retries were admitted with 600 ms, 109 of 163 with 400 ms, and 74 of 141 with
/// 20 ms.
constexpr std::chrono::milliseconds fleetReadyTime{600};
/// Minimum of the retry delay if that time has passed.
constexpr std::chrono::milliseconds leastFleetRetry{250};
/// Random part of the retry delay, so that callers do not return together.
constexpr std::chrono::milliseconds fleetRetryJitter{100};

const char *nameOf(quota_decision::basis_kind basis)
{
    switch (basis) {
    case quota_decision::basis_kind::None:
        return "no_quota";
    case quota_decision::basis_kind::Open:
        return "open";
    case quota_decision::basis_kind::Permit:
        return "permit";
    case quota_decision::basis_kind::EqualShare:
        return "equal_share";
    }
    return "";
}

const char *nameOf(owner_contact::state_kind state)
{
    switch (state) {
    case owner_contact::state_kind::Unknown:
        return "unknown";
    case owner_contact::state_kind::Confirmed:
        return "confirmed";
    case owner_contact::state_kind::Lost:
        return "lost";
    }
    return "";
}

std::vector<member> allHosts(const membership &members)
{
    std::vector<member> result;
    for (const auto &[host, each] : members.members())
        result.push_back(each);
    return result;
}

} // namespace

void quota_admission::start(const host_id &self, time_point now, wall_time wall)
{
    m_self = self;
    m_startedAt = now;
    m_gate.start(self, now, wall);
    m_owner.start(self, now, wall);
}

quota_admission::outcome quota_admission::admit(const request_received &received,
                                                const organisation &customer, time_point lateAt,
                                                time_point now, relay_effect_list &effects)
{
    if (!isActive() || !customer.hasQuota())
        return {};
    const quota_decision decision =
        withRetryTime(m_gate.admit(received.id.value, stableHash(customer.id.value), now, lateAt),
                      received.id.value, now);
    if (decision.kind == kind_type::Wait) {
        m_parked.emplace(received.id.value, parked_request{received, customer.id.value, now});
        return {true};
    }
    record(received.request->callerId, customer.id.value, decision, {}, now, effects);
    return {false, refusalOf(decision)};
}

void quota_admission::onNoRoom(const organisation &customer, relay_effect_list &effects)
{
    if (!isActive() || !customer.hasQuota())
        return;
    m_counts.count(customer.id.value, &quota_counts::noRoom);
    effects.emplace_back(count_metric{"relay_quota_no_room_total", 1});
}

quota_decision quota_admission::withRetryTime(quota_decision decision, std::uint64_t id,
                                              time_point now) const
{
    if (decision.kind != kind_type::NotReady)
        return decision;
    decision.retryAfter = otherHostRetry;
    // Other hosts of a starting fleet cannot decide either, and a caller asks only once more.
    if (m_isFleetStarting)
        decision.retryAfter =
            std::max<duration>(m_startedAt + fleetReadyTime - now, leastFleetRetry)
            + std::chrono::milliseconds(stableHash(m_self.value, id)
                                        % static_cast<std::uint64_t>(fleetRetryJitter.count()));
    return decision;
}

std::optional<refusal> quota_admission::refusalOf(const quota_decision &decision)
{
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
    if (decision.kind == kind_type::NotReady)
        return refusal{503, "not_ready", "the host does not know the quotas yet",
                       execution_state::NotRun, retryAfter};
    if (decision.kind == kind_type::Refuse)
        return refusal{429, "over_quota", "the organisation is above its quota",
                       execution_state::NotRun, std::max(retryAfter, std::chrono::milliseconds(1))};
    return std::nullopt;
}

void quota_admission::record(const std::string &callerId, const std::string &organisation,
                             const quota_decision &decision, duration waited, time_point now,
                             relay_effect_list &effects)
{
    const bool isAdmitted = decision.kind == kind_type::Admit;
    m_counts.count(organisation, isAdmitted ? &quota_counts::granted : &quota_counts::refused);
    effects.emplace_back(
        count_metric{isAdmitted ? "relay_quota_granted_total" : "relay_quota_refused_total", 1});
    const std::chrono::duration<double, std::milli> time = waited;
    const std::chrono::duration<double, std::milli> retry = decision.retryAfter;
    appendLog(
        effects, log_level::Debug, "decided by quota",
        {{"request", callerId},
         {"organisation", organisation},
         {"outcome", isAdmitted ? "admitted" : "refused"},
         {"basis", nameOf(decision.basis)},
         {"contact", nameOf(m_gate.contact(stableHash(organisation), now))},
         {"hosts", fmt::to_string(m_gate.view().hosts())},
         {"waited_ms", fmt::format("{:.1f}", time.count())},
         {"retry_after_ms", fmt::format("{:.1f}", retry.count())},
         {"routes_version", fmt::to_string(m_document == nullptr ? 0 : m_document->version())}});
}

bool quota_admission::cancel(request_id id)
{
    m_gate.cancel(id.value);
    return m_parked.erase(id.value) != 0;
}

void quota_admission::onDatagram(const endpoint &from, const gossip_message &message,
                                 const membership &members, time_point now,
                                 relay_effect_list &effects)
{
    const host_id &sender = message.sender.host;
    // Only known hosts are answered, which bounds the memory for them.
    if (!isActive() || sender == m_self || members.members().count(sender) == 0)
        return;
    if (message.kind == message_kind::QuotaAnswer) {
        m_gate.onAnswer(sender, message.quota, now);
        return;
    }
    auto answer = m_owner.onReport(sender, message.quota, now);
    if (!answer.has_value())
        return;
    gossip_message reply;
    reply.kind = message_kind::QuotaAnswer;
    reply.sender = members.self();
    reply.quota = *std::move(answer);
    if (!reply.quota.isServing)
        addOwners(reply, members);
    effects.emplace_back(send_datagram{from, std::move(reply)});
}

void quota_admission::applyRoutes(const std::shared_ptr<const route_document> &document)
{
    if (document == m_document || document == nullptr)
        return;
    m_document = document;
    auto quotas = std::make_shared<quota_table>();
    for (const organisation &each : document->organisations().all()) {
        if (m_settings.isEnabled && each.hasQuota())
            quotas->emplace(stableHash(each.id.value), quota_terms{each.ratePerSecond, each.burst});
    }
    m_quotas = std::move(quotas);
    m_gate.setQuotas(m_quotas);
    m_owner.setQuotas(m_quotas);
}

bool quota_admission::startedWithOthers(const membership &members) const
{
    // Incarnations are wall times of starts in milliseconds, and increase by one for a refutation.
    const std::uint64_t own = members.self().incarnation;
    const auto spread = static_cast<std::uint64_t>(m_settings.fleetStartSpread.count());
    const auto &known = members.members();
    const auto together = std::count_if(known.begin(), known.end(), [&](const auto &entry) {
        const std::uint64_t other = entry.second.incarnation;
        return entry.first != m_self && std::max(own, other) - std::min(own, other) <= spread;
    });
    return static_cast<std::size_t>(together) * 2 + 1 > known.size();
}

void quota_admission::applyMembers(const membership &members, time_point now,
                                   relay_effect_list &effects)
{
    if (now < m_nextMembersAt)
        return;
    const bool isStarting = now - m_startedAt < m_settings.startTime;
    m_nextMembersAt = now + (isStarting ? startMembersInterval : membersInterval);
    if (isStarting)
        m_isFleetStarting = startedWithOthers(members);
    const quota_view view(allHosts(members));
    if (view == m_gate.view())
        return;
    const bool changed = view.digest() != m_gate.view().digest();
    m_gate.setView(view, now);
    m_owner.setView(view, now);
    if (!changed)
        return;
    std::string owners;
    for (const host_id &each : view.owners())
        owners += (owners.empty() ? "" : ",") + each.value;
    appendLog(effects, log_level::Info, "owners of quotas changed",
              {{"owners", owners},
               {"hosts", fmt::to_string(view.hosts())},
               {"owns", view.isOwner(m_self) ? "true" : "false"}});
}

std::vector<quota_admission::decided_request>
quota_admission::synchronise(const std::shared_ptr<const route_document> &document,
                             const membership &members, time_point now, relay_effect_list &effects)
{
    applyRoutes(document);
    if (!isActive() && m_parked.empty())
        return {};
    applyMembers(members, now, effects);
    exchange(members, now, effects);
    updateShare(now);
    logChanges(now, effects);
    std::vector<decided_request> result;
    for (const auto &[id, gateDecision] : m_gate.takeDecisions()) {
        const quota_decision decision = withRetryTime(gateDecision, id, now);
        const auto found = m_parked.find(id);
        if (found == m_parked.end())
            continue;
        parked_request parked = std::move(found->second);
        m_parked.erase(found);
        record(parked.received.request->callerId, parked.organisation, decision, now - parked.since,
               now, effects);
        parked.received.delay += now - parked.since;
        result.emplace_back(std::move(parked.received), refusalOf(decision));
    }
    return result;
}

void quota_admission::exchange(const membership &members, time_point now,
                               relay_effect_list &effects)
{
    m_owner.onTick(now);
    m_gate.onTick(now);
    // An answer of this host to itself may decide on requests, but asks for no further report now.
    for (auto &[to, report] : m_gate.takeReports())
        send(members, to, message_kind::QuotaReport, std::move(report), now, effects);
    for (auto &[to, notice] : m_owner.takeNotices())
        send(members, to, message_kind::QuotaAnswer, std::move(notice), now, effects);
}

void quota_admission::send(const membership &members, const host_id &to, message_kind kind,
                           quota_message message, time_point now, relay_effect_list &effects)
{
    if (to == m_self) {
        if (kind == message_kind::QuotaAnswer)
            m_gate.onAnswer(m_self, message, now);
        else if (const auto answer = m_owner.onReport(m_self, message, now))
            m_gate.onAnswer(m_self, *answer, now);
        return;
    }
    const auto known = members.members().find(to);
    if (known == members.members().end())
        return;
    gossip_message datagram;
    datagram.kind = kind;
    datagram.sender = members.self();
    datagram.quota = std::move(message);
    const auto contact = m_gate.contacts().find(to);
    if (kind == message_kind::QuotaReport && contact != m_gate.contacts().end()
        && contact->second.state(now) != owner_contact::state_kind::Confirmed)
        addOwners(datagram, members);
    effects.emplace_back(send_datagram{known->second.gossip, std::move(datagram)});
    effects.emplace_back(count_metric{kind == message_kind::QuotaReport
                                          ? "relay_quota_reports_total"
                                          : "relay_quota_notices_total",
                                      1});
}

void quota_admission::addOwners(gossip_message &message, const membership &members) const
{
    constexpr std::size_t datagramBytes = 1200;
    constexpr std::size_t entryBytes = 75;
    std::size_t bytes = gossipBytes(message) + entryBytes * (1 + message.quota.entries.size());
    for (const host_id &owner : m_gate.view().owners()) {
        const auto known = members.members().find(owner);
        if (owner == m_self || known == members.members().end())
            continue;
        bytes += gossipBytes(known->second);
        if (bytes > datagramBytes)
            return;
        message.updates.push_back(known->second);
    }
}

void quota_admission::updateShare(time_point now)
{
    m_isOwner = m_owner.isServing(now);
    const double share =
        m_isOwner ? m_owner.share() : 1 / static_cast<double>(m_gate.view().hosts());
    if (share == m_share)
        return;
    m_share = share;
    m_shareSince = now;
}

quota_status quota_admission::status() const
{
    if (!isActive())
        return {};
    return {true, m_isOwner, m_share, m_shareSince, m_counts.busiest(), m_counts.others()};
}

void quota_admission::logChanges(time_point now, relay_effect_list &effects)
{
    for (const auto &[owner, contact] : m_gate.contacts()) {
        const owner_contact::state_kind state = contact.state(now);
        const auto [logged, isNew] = m_loggedContacts.try_emplace(owner, state);
        if (!isNew && logged->second == state)
            continue;
        logged->second = state;
        if (state == owner_contact::state_kind::Lost)
            effects.emplace_back(count_metric{"relay_quota_owners_lost_total", 1});
        appendLog(effects, log_level::Info, "contact with an owner of quotas",
                  {{"owner", owner.value},
                   {"contact", nameOf(state)},
                   {"hosts", fmt::to_string(m_gate.view().hosts())}});
    }
    std::erase_if(m_loggedContacts,
                  [this](const auto &entry) { return !m_gate.contacts().contains(entry.first); });
    const std::size_t limited = m_owner.limitedCount();
    if (limited == m_loggedLimited)
        return;
    m_loggedLimited = limited;
    appendLog(
        effects, log_level::Info, "limited organisations changed",
        {{"limited", fmt::to_string(limited)}, {"share", fmt::format("{:.3f}", m_owner.share())}});
}

std::optional<time_point> quota_admission::nextDeadline() const
{
    if (!isActive() && m_parked.empty())
        return std::nullopt;
    std::optional<time_point> earliest = m_gate.nextDeadline();
    const auto consider = [&earliest](time_point at) {
        earliest = std::min(earliest.value_or(at), at);
    };
    if (const auto notice = m_owner.nextDeadline())
        consider(*notice);
    consider(m_nextMembersAt);
    return earliest;
}

} // namespace waxwing::relay
