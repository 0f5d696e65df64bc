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

struct membership::state
{
    /// Probe that is not acknowledged yet.
    struct pending_probe
    {
        std::uint64_t number = 0;
        host_id target;
        /// When indirect probes are requested; empty after they were requested.
        std::optional<time_point> indirectProbesAt;
    };
    /// Probe sent for another host.
    struct relayed_probe
    {
        /// Address of the host that requested the probe.
        endpoint requester;
        /// Probe number of the requester.
        std::uint64_t number = 0;
        /// After this time an acknowledgement is not relayed.
        time_point expires;
    };

    explicit state(const membership_settings &chosen);

    /// Applies a record about any host, this one included, and queues it for other hosts if it is
    /// new.
    void apply(reduce_context &context, const member &record);
    /// Applies a record without queueing it.
    member_table::change merge(reduce_context &context, const member &record);
    /// Increments the incarnation of this host if a record overrides its own one, for example as
    /// suspect.
    void refute(const member &record);
    /// Replaces the record of this host and queues it.
    void setSelf(const member &changed);
    /// Stores facts and requests a push if one was new.
    void applyFacts(time_point now, const std::vector<fact> &received);
    /// Schedules a push to a few members at the earliest permitted time.
    void requestPush(time_point now);

    /// Sends a message, filled with updates and facts. `to` is empty if the receiver is unknown.
    void send(reduce_context &context, const endpoint &address, const host_id &to,
              gossip_message message);
    /// Sends a probe and returns its number.
    std::uint64_t sendProbe(reduce_context &context, const endpoint &address, const host_id &to);
    /// Handles a probe, an indirect probe or an acknowledgement.
    void respond(reduce_context &context, const endpoint &from, const gossip_message &message);

    /// Requests all members from another host.
    void requestMembers(reduce_context &context);
    /// Sends all active members in as many datagrams as needed.
    void sendMembers(reduce_context &context, const endpoint &address, const host_id &to);

    /// Finishes the probe of the last period and begins the next period.
    void beginPeriod(reduce_context &context);
    /// Marks the target of the pending probe as suspect, or as dead if it was leaving.
    void finishProbe(reduce_context &context);
    /// Requests indirect probes of the target of the pending probe.
    void sendIndirectProbes(reduce_context &context);
    /// Probes seeds and dead members.
    void reconnect(reduce_context &context);
    /// Sends queued updates and facts to a few members.
    void push(reduce_context &context);
    /// Discards the pending probe and extends suspicions after this host was paused.
    void onPause(time_point now, duration pause);

    /// Time in which a suspect can refute.
    duration suspicionTime() const;
    /// Number of times that an update is sent.
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
    /// Dead members that others report as alive, and random ones; one is probed per period.
    std::set<host_id> possiblyAlive;
    /// Time of the last event, for changes that come without a time.
    time_point lastEvent;
    time_point nextPeriod;
    time_point nextSeedContact;
    time_point nextDeadProbe;
    time_point nextSync;
    /// Time between the next two requests for all members.
    duration syncPeriod{};
    /// Whether the latest request was answered.
    bool syncAnswered = false;
    /// Whether an answer to the latest request contained an unknown member.
    bool syncAddedMembers = false;
    time_point lastPush;
    std::optional<time_point> pushAt;
};

} // namespace waxwing
