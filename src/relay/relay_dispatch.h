#pragma once

#include "entry/stop_sequence.h"
#include "events/reduce_context.h"
#include "membership/membership.h"
#include "relay/relay_context.h"
#include "relay/relay_reducer.h"
#include "relay/request_progress.h"
#include "relay/store_desk.h"

#include <string>

namespace waxwing::relay {

/// Parts of the state of a relay host.
struct relay_state::parts
{
    explicit parts(const relay_settings &values);

    /// Settings.
    relay_settings settings;
    /// Random engine.
    random_engine random;
    /// Last attempt number.
    std::uint64_t lastAttempt = 0;
    /// Requests and servers.
    relay_requests requests;
    /// Routes in the store.
    store_follower routes;
    /// Backend servers in the store.
    store_follower servers;
    /// Answers to hosts that ask this one for what the store holds.
    store_desk peerAnswers;
    /// Other hosts.
    membership members;
    /// Graceful stop.
    stop_sequence stop;
    /// Where the store is read.
    store_role role;
    /// Version of the members that connections and budgets are divided among.
    std::optional<std::uint64_t> appliedMembersVersion;
};

/// Hands an event to the parts that it concerns. Lives as long as the event.
class relay_dispatch
{
public:
    /// Works on `state`; appends to `effects`.
    relay_dispatch(relay_state::parts &state, const relay_event &input, relay_effect_list &effects);

    /// Handles what is due.
    void operator()(const tick &due);
    /// Starts every part.
    void operator()(const started &start);
    /// Begins the graceful stop.
    void operator()(const stop_requested &request);
    /// Starts a request.
    void operator()(const request_received &received);
    /// Ends the request of a caller that has gone.
    void operator()(const caller_gone &disconnected);
    /// Passes on an answer.
    void operator()(const leaf_answered &answered);
    /// Passes on a failure.
    void operator()(const leaf_failed &failed);
    /// Takes what the store says.
    void operator()(const store_call_ended &called);
    /// Passes on a datagram.
    void operator()(const datagram_received &received);
    /// Takes over addresses of other hosts.
    void operator()(const seeds_changed &changed);
    /// Answers another host.
    void operator()(const peer_request_received &asked);
    /// Forgets another host that waits.
    void operator()(const peer_disconnected &disconnected);

    /// Brings the parts up to date with each other; called after every event.
    void synchronise();

private:
    relay_context requestContext();
    std::optional<refusal> admissionRefusal(const request_received &received, const route *target);
    void answerRefusal(const request_received &received, refusal reason);
    void start(const request_received &received, const route &target);
    void remove(request_id id);
    /// Moves the request on, unless it has ended.
    template<typename Step>
    void advance(request_id id, Step step);
    relay_attempt removeAttempt(attempt_id id, bool &found);
    void recordReply(const relay_attempt &attempt, attempt_id id, const leaf_reply &reply);
    void sendWaitingParts(const service_id &service);
    void cancelAbandoned();
    void applyMembers();
    void appendSharedEffects();

    relay_state::parts &m_parts;
    time_point m_now;
    wall_time m_wall;
    relay_effect_list &m_effects;
    /// Effects of the parts that are shared with the entry host.
    effect_list m_shared;
    reduce_context m_context;
};

} // namespace waxwing::relay
