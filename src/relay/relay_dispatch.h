#pragma once

#include "events/reduce_context.h"
#include "loop/stop_sequence.h"
#include "membership/membership.h"
#include "placement/evacuation_table.h"
#include "placement/returning_zones.h"
#include "relay/observation_exchange.h"
#include "relay/peer_store_server.h"
#include "relay/quota_admission.h"
#include "relay/relay_context.h"
#include "relay/relay_reducer.h"
#include "relay/request_progress.h"
#include "relay/settled_number.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::relay {

/// Parts of the state of a relay host.
struct relay_state::parts
{
    explicit parts(const relay_settings &values);

    relay_settings settings;
    /// Seeded by the `started` event.
    random_engine random;
    /// Part of a period, from 0 to 1, after which this host's first turn at a server that names a
    /// limit begins. The same for all servers, so that a fan-out finds its shards ready together.
    double turnPhase = 0;
    /// Number of the latest attempt.
    std::uint64_t lastAttempt = 0;
    relay_requests requests;
    /// Follows the route document in the store.
    store_watcher routes;
    /// Follows the registrations of backend servers in the store.
    store_watcher servers;
    /// Follows the evacuations in the store; empty unless the settings ask for it.
    std::optional<store_watcher> evacuationWatcher;
    evacuation_table evacuations;
    /// Latest era of the store that `evacuations` were told of.
    std::uint64_t evacuationsEra = 0;
    /// Zones whose evacuation ended a short time ago.
    returning_zones returning;
    /// Watchers in use, in the order in which they are called.
    std::vector<store_watcher *> watchers();
    /// Watcher of a kind, or null if it is not in use.
    store_watcher *watcherOf(store_object_kind kind);
    /// Latest era of the store that any watcher saw.
    std::uint64_t storeEra();
    /// Whether everything is known that decides where requests may be sent.
    bool hasListed() const;
    /// Era of the store in which the routes in force were read.
    std::uint64_t routesEra = 0;
    /// Answers store calls of other hosts.
    peer_store_server peerAnswers;
    membership members;
    quota_admission quotas;
    /// Observations of servers shared with hosts of the zone; empty unless the settings ask for it.
    std::optional<observation_exchange> observations;
    stop_sequence stop;
    /// Whether the store is read directly or through another host.
    store_role role;
    /// Membership version that the connection limits and budgets were last divided by; empty to
    /// divide them again after the next event.
    std::optional<std::uint64_t> appliedMembersVersion;
    /// When roles, budgets and connection limits may follow the membership again.
    time_point nextMembersApplyAt{};
    /// Whether a change of the membership waits for `nextMembersApplyAt`.
    bool hasMembersToApply = false;
    /// Number of hosts, for the log.
    settled_number hostsToLog{{}, 1};
    /// Number of hosts since the start, until it has settled for the first time; empty after that.
    std::optional<settled_number> startingHosts;
};

/// Handles one event by passing it to the components that it affects. Lives as long as the event.
class relay_dispatch
{
public:
    /// Modifies `state` and appends to `effects`; both must outlive this object.
    relay_dispatch(relay_state::parts &state, const relay_event &input, relay_effect_list &effects);

    /// Runs all timers that are due.
    void operator()(const tick &due);
    /// Joins the other hosts and starts to read the store.
    void operator()(const started &start);
    /// Begins the graceful stop.
    void operator()(const stop_requested &request);
    /// Starts or refuses a request.
    void operator()(const request_received &received);
    /// Cancels the request of a caller that disconnected.
    void operator()(const caller_gone &disconnected);
    /// Updates the server's statistics and the request. Ignored if the attempt was cancelled.
    void operator()(const leaf_answered &answered);
    /// Updates the server's statistics and the request. Ignored if the attempt was cancelled.
    void operator()(const leaf_failed &failed);
    /// Passes the answer of another host on, or tries the next host. Ignored if the forwarded
    /// request was cancelled.
    void operator()(const forward_answered &answered);
    /// Tries the next host. Ignored if the forwarded request was cancelled.
    void operator()(const forward_failed &failed);
    /// Records that the other host works on the request. Ignored if it was cancelled.
    void operator()(const forward_acknowledged &acknowledged);
    /// Applies changes that were read from the store.
    void operator()(const store_call_ended &called);
    /// Updates the membership and applies quarantines reported by other hosts.
    void operator()(const datagram_received &received);
    /// Adds addresses at which other hosts are contacted.
    void operator()(const seeds_changed &changed);
    /// Answers a store call of another host, now or when there is a change.
    void operator()(const peer_request_received &asked);
    /// Removes the store call of a host that disconnected.
    void operator()(const peer_disconnected &disconnected);

    /// Applies the observations of servers in a datagram, if hosts share them. Called before the
    /// datagram is handled as any other.
    void observeDatagram(const datagram_received &received);

    /// Applies changes of one component to the others. Called after every event.
    void synchronise();

private:
    relay_context requestContext();
    /// When requests have to be answered because the host stops; empty unless it is stopping.
    std::optional<time_point> lastAnswerAt() const;
    std::optional<refusal> admissionRefusal(const request_received &received, const route *target);
    void answerRefusal(const request_received &received, refusal reason);
    void start(const request_received &received, const route &target);
    void remove(request_id id);
    /// Calls `step` with the request's `request_progress` and removes the request if it has ended.
    /// Does nothing if the request does not exist.
    template<typename Step>
    void advance(request_id id, Step step);
    relay_attempt removeAttempt(attempt_id id, bool &found);
    void recordAnnouncements(leaf &server, const leaf_reply &reply);
    void recordRateLimit(leaf &server, const leaf_reply &reply);
    void recordNoResponse(leaf &server, attempt_id id);
    void recordContact();
    void checkContact();
    void recordReply(const relay_attempt &attempt, attempt_id id, const leaf_reply &reply);
    /// Logs a connection that ended before the answer, and whether that counts as a crash.
    void logLoss(const relay_attempt &attempt, std::string_view verdict);
    void sendWaitingParts(const service_id &service);
    void sendWaitingParts(const std::set<service_id> &services);
    void sendPartsInTurn();
    void cancelAbandoned();
    void applyMembers();
    /// Ends the time in which this host does not know how many hosts there are.
    void learnFleetSize();
    /// Chooses the hosts that carry out fan-outs, and divides the servers among them.
    void applyCoordinators();
    /// From when on a request can no longer be answered within the latency target of its route, if
    /// its processing takes as long as usual.
    time_point lateAt(const request_received &received, const route &target);
    /// Starts the request, or refuses it or lets it wait because of its organisation's quota.
    void startWithinQuota(const request_received &received, const route &target);
    /// Counts a refusal for lack of room for the organisation of the request.
    void countForQuota(const request_received &received, const refusal &reason);
    /// Starts or refuses the requests that do not wait for a permit any longer.
    void finishQuotaWaits();
    /// Records an answer to a request that was sent at `sent`, if hosts share observations.
    void observeAnswer(leaf &server, double slowness, time_point sent);
    /// Looks at requests without an answer.
    void observeUnanswered();
    /// Sends observations of servers that are due.
    void shareObservations();
    void appendSharedEffects();

    relay_state::parts &m_parts;
    time_point m_now;
    wall_time m_wall;
    relay_effect_list &m_effects;
    /// Effects of the parts that are shared with the entry host.
    effect_list m_shared;
    reduce_context m_context;
};

template<typename Step>
void relay_dispatch::advance(request_id id, Step step)
{
    relay_requests &requests = m_parts.requests;
    const auto found = requests.inProgress.find(id.value);
    if (found == requests.inProgress.end())
        return;
    const relay_context current = requestContext();
    request_progress request(current, *found->second);
    step(request);
    if (request.isEnded())
        requests.inProgress.erase(id.value);
}

} // namespace waxwing::relay
