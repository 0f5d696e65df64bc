#include "membership/membership_state.h"

#include "membership/gossip_size.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace waxwing {
namespace {

/// Maximum number of concurrent relayed probes; bounds memory against floods.
constexpr std::size_t maxRelays = 256;
/// Maximum number of addresses kept from the platform's list.
constexpr std::size_t maxListedSeeds = 2000;
/// Fraction of the free datagram space available to updates. The rest is reserved for facts so that
/// a burst of membership changes cannot delay them.
constexpr double updateShare = 0.6;

fact_table_settings factSettings(const membership_settings &settings)
{
    fact_table_settings result;
    result.maxFacts = settings.maxFacts;
    return result;
}

} // namespace

membership::state::state(const membership_settings &chosen)
    : settings(chosen), members({chosen.maxMembers, chosen.deadMemory}),
      facts(factSettings(chosen)), seeds(maxListedSeeds)
{ }

void membership::state::apply(reduce_context &context, const member &record)
{
    if (merge(context, record) != member_table::change::None)
        updates.add(record.host);
}

member_table::change membership::state::merge(reduce_context &context, const member &record)
{
    if (record.host == members.self().host) {
        refute(record);
        return member_table::change::None;
    }
    const member *known = members.find(record.host);
    if (known != nullptr && known->state == member_state::Dead
        && record.incarnation == known->incarnation && record.state < member_state::Leaving)
        possiblyAlive.insert(record.host);

    const member_table::change change = members.merge(record, context.now, suspicionTime());
    if (change == member_table::change::None)
        return change;
    if (record.state == member_state::Leaving)
        requestPush(context.now);
    if (change == member_table::change::Joined)
        schedule.add(record.host, context.random);
    if (change == member_table::change::Revived) {
        possiblyAlive.erase(record.host);
        schedule.add(record.host, context.random);
        // A partition has probably ended: probe the other dead members sooner and resend the facts
        // that they missed.
        nextDeadProbe = std::min(nextDeadProbe, context.now + settings.probePeriod);
        facts.resendAll(context.now);
    }
    return change;
}

void membership::state::refute(const member &record)
{
    const member &self = members.self();
    if (std::pair(record.incarnation, record.state) <= std::pair(self.incarnation, self.state))
        return;
    member refuted = self;
    refuted.incarnation = record.incarnation + 1;
    setSelf(refuted);
}

void membership::state::setSelf(const member &changed)
{
    members.setSelf(changed);
    updates.add(changed.host);
}

void membership::state::applyFacts(time_point now, const std::vector<fact> &received)
{
    for (const fact &each : received) {
        if (each.kind == fact_kind::RequestCrash) {
            newFacts.push_back(each);
            continue;
        }
        // Sequences increase across incarnations so that new facts supersede those of an earlier
        // one.
        if (each.origin == members.self().host)
            lastSequence = std::max(lastSequence, each.sequence);
        if (!facts.accept(each, now))
            continue;
        newFacts.push_back(each);
        requestPush(now);
    }
}

void membership::state::requestPush(time_point now)
{
    if (!pushAt)
        pushAt = std::max(now, lastPush + settings.pushPause);
}

void membership::state::send(reduce_context &context, const endpoint &address, const host_id &to,
                             gossip_message message)
{
    message.sender = members.self();
    message.configurationDigest = digest;
    const std::size_t used = gossipBytes(message);
    std::size_t left = settings.datagramBytes > used ? settings.datagramBytes - used : 0;
    auto updateBytes = static_cast<std::size_t>(static_cast<double>(left) * updateShare);
    const std::size_t reserved = left - updateBytes;
    const auto addRecord = [&](const member &record) {
        const std::size_t size = gossipBytes(record);
        if (size > updateBytes)
            return false;
        updateBytes -= size;
        message.updates.push_back(record);
        return true;
    };

    // A host that is considered dead or suspect must receive that record to refute it.
    const member *receiver = members.find(to);
    if (receiver != nullptr && receiver->state != member_state::Alive)
        addRecord(*receiver);
    updates.take(transmissions(), [&](const host_id &host) {
        const member *record = members.find(host);
        return record == nullptr || host == members.self().host || addRecord(*record);
    });
    left = updateBytes + reserved;
    facts.take(context.now, transmissions(), left, message.facts);
    updateBytes = left;
    for (const member &filler : members.chooseActive(settings.fillerMembers, to, context.random))
        addRecord(filler);
    context.emit(send_datagram{address, std::move(message)});
}

std::uint64_t membership::state::sendProbe(reduce_context &context, const endpoint &address,
                                           const host_id &to)
{
    gossip_message probe;
    probe.kind = gossip_message::message_kind::Probe;
    probe.probe = ++lastProbe;
    send(context, address, to, std::move(probe));
    return lastProbe;
}

void membership::state::respond(reduce_context &context, const endpoint &from,
                                const gossip_message &message)
{
    if (message.kind == gossip_message::message_kind::Members) {
        syncAnswered = true;
        return;
    }
    if (message.kind == gossip_message::message_kind::QuotaReport
        || message.kind == gossip_message::message_kind::QuotaAnswer
        || message.kind == gossip_message::message_kind::ServerObservations)
        return;
    if (message.kind == gossip_message::message_kind::MembersRequest) {
        sendMembers(context, from, message.sender.host);
        return;
    }
    gossip_message answer;
    answer.kind = gossip_message::message_kind::Acknowledge;
    answer.probe = message.probe;
    if (message.kind == gossip_message::message_kind::Probe) {
        send(context, from, message.sender.host, std::move(answer));
        return;
    }
    if (message.kind == gossip_message::message_kind::IndirectProbe) {
        const member *target = members.find(message.target);
        if (target == nullptr || relays.size() >= maxRelays)
            return;
        const std::uint64_t number = sendProbe(context, target->gossip, target->host);
        relays[number] = {from, message.probe, context.now + settings.probePeriod};
        return;
    }
    if (pending && pending->number == message.probe)
        pending.reset();
    const auto relay = relays.find(message.probe);
    if (relay != relays.end()) {
        answer.probe = relay->second.number;
        send(context, relay->second.requester, {}, std::move(answer));
        relays.erase(relay);
    }
}

void membership::state::requestMembers(reduce_context &context)
{
    // An answer without new members shows that this host knows the others, so the next one may come
    // later.
    if (syncAnswered && !syncAddedMembers)
        syncPeriod = std::min<duration>(syncPeriod * 2, settings.longestSyncPeriod);
    // After a start of the whole fleet the seeds know the most members.
    const std::vector<endpoint> seed = seeds.choose(1, {members.self().gossip}, context.random);
    const std::vector<member> active = members.chooseActive(1, {}, context.random);
    gossip_message request;
    request.kind = gossip_message::message_kind::MembersRequest;
    if (!active.empty() && (syncAnswered || seed.empty()))
        send(context, active.front().gossip, active.front().host, std::move(request));
    else if (!seed.empty())
        send(context, seed.front(), {}, std::move(request));
    syncAnswered = false;
    syncAddedMembers = false;
    nextSync = context.now + syncPeriod;
}

void membership::state::sendMembers(reduce_context &context, const endpoint &address,
                                    const host_id &to)
{
    gossip_message empty;
    empty.kind = gossip_message::message_kind::Members;
    empty.sender = members.self();
    empty.configurationDigest = digest;
    gossip_message next = empty;
    std::size_t used = gossipBytes(next);
    for (const member &each : members.active()) {
        if (each.host == to || each.host == members.self().host)
            continue;
        const std::size_t size = gossipBytes(each);
        if (used + size > settings.datagramBytes && !next.updates.empty()) {
            context.emit(send_datagram{address, std::exchange(next, empty)});
            used = gossipBytes(empty);
        }
        next.updates.push_back(each);
        used += size;
    }
    // Each fact is gossiped a limited number of times, so a host that starts later has missed it.
    for (fact &known : facts.valid(context.now)) {
        const std::size_t size = gossipBytes(known);
        if (used + size > settings.datagramBytes) {
            context.emit(send_datagram{address, std::exchange(next, empty)});
            used = gossipBytes(empty);
        }
        next.facts.push_back(std::move(known));
        used += size;
    }
    if (!next.updates.empty() || !next.facts.empty())
        context.emit(send_datagram{address, std::move(next)});
}

void membership::state::beginPeriod(reduce_context &context)
{
    finishProbe(context);
    nextPeriod = context.now + settings.probePeriod;
    facts.purge(context.now);
    for (auto each = relays.begin(); each != relays.end();)
        each = each->second.expires <= context.now ? relays.erase(each) : std::next(each);

    if (const auto target = schedule.next(members, context.random)) {
        const std::uint64_t number = sendProbe(context, members.find(*target)->gossip, *target);
        pending = pending_probe{number, *target, context.now + settings.probeTimeout};
    }
    reconnect(context);
}

void membership::state::finishProbe(reduce_context &context)
{
    if (!pending)
        return;
    const member *target = members.find(pending->target);
    pending.reset();
    if (target == nullptr || target->state == member_state::Dead
        || target->state == member_state::Suspect)
        return;
    member updated = *target;
    // A leaving host that stops responding has shut down as announced.
    updated.state =
        target->state == member_state::Leaving ? member_state::Dead : member_state::Suspect;
    apply(context, updated);
}

void membership::state::sendIndirectProbes(reduce_context &context)
{
    pending->indirectProbesAt.reset();
    const pending_probe unacknowledged = *pending;
    for (const member &helper :
         members.chooseActive(settings.indirectProbes, unacknowledged.target, context.random)) {
        gossip_message request;
        request.kind = gossip_message::message_kind::IndirectProbe;
        request.probe = unacknowledged.number;
        request.target = unacknowledged.target;
        send(context, helper.gossip, helper.host, std::move(request));
    }
}

void membership::state::reconnect(reduce_context &context)
{
    const bool isIsolated = members.chooseActive(1, {}, context.random).empty();
    if (isIsolated || context.now >= nextSeedContact) {
        std::set<endpoint> known;
        for (const member &each : members.active())
            known.insert(each.gossip);
        known.insert(members.self().gossip);
        for (const endpoint &seed : seeds.choose(isIsolated ? 3 : 1, known, context.random))
            sendProbe(context, seed, {});
        nextSeedContact = context.now + settings.reconnectPeriod;
    }
    if (context.now >= nextDeadProbe) {
        std::vector<host_id> dead;
        for (const auto &[host, each] : members.all()) {
            if (each.state == member_state::Dead)
                dead.push_back(host);
        }
        if (!dead.empty())
            possiblyAlive.insert(dead[context.random(static_cast<std::uint32_t>(dead.size()))]);
        nextDeadProbe = context.now + settings.reconnectPeriod;
    }
    // Probes one member per period so that the end of a large partition causes no burst of
    // datagrams.
    if (!possiblyAlive.empty()) {
        const auto chosen =
            std::next(possiblyAlive.begin(),
                      context.random(static_cast<std::uint32_t>(possiblyAlive.size())));
        const member *target = members.find(*chosen);
        if (target != nullptr && target->state == member_state::Dead)
            sendProbe(context, target->gossip, target->host);
        possiblyAlive.erase(chosen);
    }
}

void membership::state::push(reduce_context &context)
{
    pushAt.reset();
    lastPush = context.now;
    for (const member &each : members.chooseActive(settings.pushFanOut, {}, context.random))
        sendProbe(context, each.gossip, each.host);
}

void membership::state::onPause(time_point now, duration pause)
{
    // Acknowledgements and refutations may still be queued in the socket.
    pending.reset();
    members.delaySuspicions(pause + settings.probePeriod);
    nextPeriod = now;
}

duration membership::state::suspicionTime() const
{
    const double count = std::max<double>(1, static_cast<double>(members.activeCount()));
    return settings.suspicionTime
        + std::chrono::duration_cast<duration>(settings.probePeriod * std::log(count));
}

std::uint32_t membership::state::transmissions() const
{
    return settings.transmissionFactor
        * static_cast<std::uint32_t>(std::bit_width(members.activeCount() + 1));
}

std::optional<time_point> membership::state::nextDeadline() const
{
    if (!isStarted)
        return std::nullopt;
    time_point next = std::min(nextPeriod, nextSync);
    if (pending && pending->indirectProbesAt)
        next = std::min(next, *pending->indirectProbesAt);
    if (pushAt)
        next = std::min(next, *pushAt);
    if (const auto due = members.nextDeadline())
        next = std::min(next, *due);
    return next;
}

} // namespace waxwing
