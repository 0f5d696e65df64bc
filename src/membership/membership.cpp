#include "membership/membership.h"

#include "membership/membership_state.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

/// Maximum length of a host name, zone name or address, in bytes. Two records must fit into a
/// datagram.
constexpr std::size_t maxNameBytes = 128;

bool isUsable(const member &record)
{
    return !record.host.value.empty() && record.host.value.size() <= maxNameBytes
        && record.zone.value.size() <= maxNameBytes && record.gossip.address.size() <= maxNameBytes
        && record.peer.address.size() <= maxNameBytes && record.state <= member_state::Dead;
}

} // namespace

membership::membership(membership_settings settings)
    : m_state(std::make_unique<state>(settings)) { }

membership::membership(membership &&) noexcept = default;
membership &membership::operator=(membership &&) noexcept = default;
membership::~membership() = default;

void membership::start(reduce_context &context, const member &self,
                       const std::vector<endpoint> &seeds)
{
    m_state->lastEvent = context.now;
    m_state->seeds.setFixed(seeds);
    m_state->setSelf(self);
    m_state->isStarted = true;
    // Late acknowledgements of an earlier incarnation must not match new probe numbers.
    m_state->lastProbe = std::uint64_t{context.random()} << 16U;
    m_state->lastSequence = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, context.wall.time_since_epoch().count()));
    m_state->lastPush = context.now - m_state->settings.pushPause;
    m_state->nextSeedContact = context.now;
    m_state->nextDeadProbe = context.now + m_state->settings.reconnectPeriod;
    m_state->reconnect(context);
    m_state->syncPeriod = m_state->settings.firstSyncDelay;
    m_state->nextSync = context.now + m_state->syncPeriod
        + std::chrono::milliseconds(context.random(static_cast<std::uint32_t>(
            std::max<std::int64_t>(1, m_state->settings.firstSyncDelay.count()))));
    // A random start time spreads the probes of hosts that start together over the period.
    const auto period = static_cast<std::uint32_t>(m_state->settings.probePeriod.count());
    m_state->nextPeriod =
        context.now + std::chrono::milliseconds(context.random(std::max(1U, period)));
}

void membership::onDatagram(reduce_context &context, const endpoint &from,
                            const gossip_message &message)
{
    if (!m_state->isStarted || !isUsable(message.sender) || message.sender.host == self().host)
        return;
    m_state->lastEvent = context.now;
    member sender = message.sender;
    // A host that sends datagrams is not dead; "leaving" is the only other state that hosts
    // announce.
    if (sender.state != member_state::Leaving)
        sender.state = member_state::Alive;
    m_state->apply(context, sender);
    // Every host requests the members, so they need not be passed on.
    const bool passesOn = message.kind != gossip_message::message_kind::Members;
    for (const member &update : message.updates) {
        if (isUsable(update) && passesOn)
            m_state->apply(context, update);
        else if (isUsable(update)
                 && m_state->merge(context, update) == member_table::change::Joined)
            m_state->syncAddedMembers = true;
    }
    m_state->applyFacts(context.now, message.facts);
    m_state->respond(context, from, message);
}

void membership::onPeerState(reduce_context &context, const peer_state &fetched)
{
    if (!m_state->isStarted)
        return;
    m_state->lastEvent = context.now;
    for (member record : fetched.members) {
        if (!isUsable(record))
            continue;
        // The peer may have been partitioned, so members that it reports as dead can still refute.
        const member *known = m_state->members.find(record.host);
        if (record.state == member_state::Dead && known != nullptr
            && member_table::isActive(known->state))
            record.state = member_state::Suspect;
        m_state->apply(context, record);
    }
    m_state->applyFacts(context.now, fetched.facts);
}

void membership::addSeeds(const std::vector<endpoint> &seeds)
{
    m_state->seeds.add(seeds);
}

void membership::onTick(reduce_context &context)
{
    if (!m_state->isStarted)
        return;
    m_state->lastEvent = context.now;
    const auto expected = m_state->nextDeadline();
    if (expected && context.now > *expected + m_state->settings.probePeriod)
        m_state->onPause(context.now, context.now - *expected);
    for (const host_id &died : m_state->members.expire(context.now))
        m_state->updates.add(died);
    if (m_state->pending && m_state->pending->indirectProbesAt
        && context.now >= *m_state->pending->indirectProbesAt)
        m_state->sendIndirectProbes(context);
    if (context.now >= m_state->nextPeriod)
        m_state->beginPeriod(context);
    if (context.now >= m_state->nextSync)
        m_state->requestMembers(context);
    if (m_state->pushAt && context.now >= *m_state->pushAt)
        m_state->push(context);
}

std::optional<time_point> membership::nextDeadline() const
{
    return m_state->nextDeadline();
}

void membership::announceLeaving(reduce_context &context)
{
    if (!m_state->isStarted)
        return;
    member leaving = self();
    leaving.state = member_state::Leaving;
    m_state->setSelf(leaving);
    m_state->push(context);
}

void membership::setConfiguration(std::uint64_t revision, std::uint64_t digest)
{
    if (!m_state->isStarted)
        return;
    member changed = self();
    const bool isNewer = revision > changed.configurationRevision;
    changed.configurationRevision = revision;
    m_state->digest = digest;
    m_state->members.setSelf(changed);
    if (isNewer)
        m_state->requestPush(m_state->lastEvent);
}

void membership::publish(reduce_context &context, fact_kind kind, std::string subject,
                         std::uint64_t value, std::chrono::milliseconds validFor)
{
    if (!m_state->isStarted)
        return;
    const fact published{kind,    std::move(subject), self().host, ++m_state->lastSequence, value,
                         validFor};
    if (m_state->facts.accept(published, context.now))
        m_state->requestPush(context.now);
}

const member &membership::self() const
{
    return m_state->members.self();
}

const std::map<host_id, member> &membership::members() const
{
    return m_state->members.all();
}

std::vector<member> membership::activeMembers() const
{
    return m_state->members.active();
}

std::uint64_t membership::activeVersion() const
{
    return m_state->members.activeVersion();
}

std::vector<fact> membership::takeNewFacts()
{
    return std::exchange(m_state->newFacts, {});
}

std::vector<fact> membership::facts(time_point now) const
{
    return m_state->facts.valid(now);
}

} // namespace waxwing
