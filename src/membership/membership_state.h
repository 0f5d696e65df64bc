#pragma once

#include "membership/fact_table.h"
#include "membership/member_table.h"
#include "membership/membership.h"
#include "membership/probe_schedule.h"
#include "membership/seed_list.h"
#include "membership/transmission_queue.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waxwing {

/// Content of `membership`.
struct membership::state
{
    /// Probe whose acknowledgement has not come yet.
    struct pending_probe
    {
        /// Number of the probe.
        std::uint64_t number = 0;
        /// Host that is probed.
        host_id target;
        /// When other hosts are asked to probe; empty after they were asked.
        std::optional<time_point> indirectProbesAt;
    };
    /// Probe sent for another host.
    struct relayed_probe
    {
        /// Host that asked.
        endpoint requester;
        /// Number of its probe.
        std::uint64_t number = 0;
        /// When the acknowledgement is of no use any more.
        time_point expires;
    };

    explicit state(const membership_settings &chosen);

    /// Applies a record about any host, this one included.
    void apply(reduce_context &context, const member &record);
    /// Raises the own incarnation where a record says that this host is not alive.
    void refute(const member &record);
    /// Replaces the own record and queues it.
    void setSelf(const member &changed);
    /// Takes over facts; returns whether one was news.
    void applyFacts(time_point now, const std::vector<fact> &received);
    /// Asks for a contact with a few members at the next tick.
    void requestPush(time_point now);

    /// Sends a message, filled with updates and facts. `to` is empty if the receiver is unknown.
    void send(reduce_context &context, const endpoint &address, const host_id &to,
              gossip_message message);
    /// Sends a probe and returns its number.
    std::uint64_t sendProbe(reduce_context &context, const endpoint &address, const host_id &to);
    /// Answers what the sender of a message asked for.
    void respond(reduce_context &context, const endpoint &from, const gossip_message &message);

    /// Judges the probe of the last period and begins the next one.
    void beginPeriod(reduce_context &context);
    /// Marks the target of the pending probe as suspect, or as dead if it was leaving.
    void finishProbe(reduce_context &context);
    /// Asks others to probe the target of the pending probe.
    void sendIndirectProbes(reduce_context &context);
    /// Contacts seeds and dead members.
    void reconnect(reduce_context &context);
    /// Sends news to a few members.
    void push(reduce_context &context);
    /// Discards what a pause of this host has made unreliable.
    void onPause(time_point now, duration pause);

    /// Time that a suspect has for its refutation.
    duration suspicionTime() const;
    /// Times that an update is sent.
    std::uint32_t transmissions() const;
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;

    membership_settings settings;
    member_table members;
    probe_schedule schedule;
    transmission_queue<host_id> updates;
    fact_table facts;
    seed_list seeds;
    std::vector<fact> newFacts;
    bool isStarted = false;
    std::uint64_t digest = 0;
    std::uint64_t lastProbe = 0;
    std::uint64_t lastSequence = 0;
    std::optional<pending_probe> pending;
    std::map<std::uint64_t, relayed_probe> relays;
    /// Dead members that others say are alive; probed in the next period.
    std::set<host_id> possiblyAlive;
    /// Time of the last event, for changes that come without a time.
    time_point lastEvent;
    time_point nextPeriod;
    time_point nextSeedContact;
    time_point nextDeadProbe;
    time_point lastPush;
    std::optional<time_point> pushAt;
};

} // namespace waxwing
