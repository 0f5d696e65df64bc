#pragma once

#include "relay/relay_context.h"
#include "relay/request_completion.h"

#include <optional>
#include <string_view>

namespace waxwing::relay {

/// Forwards one request to other hosts, one at a time, when this host reaches no servers for it.
///
/// Handles cuts between this host and the servers, which other hosts do not have. A host does not
/// forward a request that another one forwarded to it.
class request_forwarding
{
public:
    /// What follows from the end of a forwarded request.
    enum class next_step {
        /// The answer of the other host is final.
        Answer,
        /// Another host may be able to answer.
        TryNext,
    };

    request_forwarding(const relay_context &context, pending_request &request,
                       request_completion &completion);

    /// Delegates a fan-out to a coordinator if this host is none. Returns false if there is none
    /// that is expected to take it.
    ///
    /// Answers fleets with more hosts than a server accepts connections; see `coordinator_set`.
    bool delegate();
    /// Whether the latest host that was asked is a coordinator.
    bool isDelegated() const { return !m_request.triedCoordinators.empty() && !m_request.isOwn; }
    /// Records that the other host works on the request.
    void onAcknowledged();
    /// Whether another host works on the request.
    bool isInProgress() const { return m_request.forward.has_value(); }
    /// Whether the request may be forwarded, and was not to too many hosts yet.
    bool isPossible() const;
    /// Forwards the request to the next host, in place of sending its parts. Returns false if no
    /// host may be able to help.
    bool start();
    /// Sends copies of a request that is forwarded to some servers that are not known to fail now,
    /// so that this host notices when it reaches them again. The other host has one attempt less
    /// for such a request, so only some requests are copied, and none that may run once only. While
    /// this host reaches some servers, nothing is copied until another host has answered a request:
    /// if none does, the request itself is the next trial.
    void sendTrials();
    /// Whether this host may send the parts after no other host could help.
    ///
    /// While this host reaches some servers, those that failed are the cause, and other hosts see
    /// them fail too. After a short outage of all servers of a shard, every host waits for a trial
    /// of its own and refuses what others forward, so a request that is refused everywhere would
    /// not be answered although the servers are back. It is the next trial instead.
    bool mayRunHere() const;
    /// Records that no further host may be able to help. If this host reaches other servers, the
    /// servers are the cause, and requests of the route are not forwarded for a while.
    void onExhausted();
    /// Handles the answer of the other host.
    next_step onAnswer(const leaf_reply &reply, std::string_view refusalCode);
    /// Handles the lack of an answer.
    void onFailure(leaf_failure reason);
    /// When `onTimer` is due; empty if it is not.
    std::optional<time_point> nextTimer() const;
    /// Records that the other host is late, so that further requests are forwarded to others.
    /// Returns true if it is a coordinator that has not acknowledged the request. The request was
    /// taken back from it and may be carried out by another host.
    ///
    /// The request itself waits for the answer until its deadline. No further host may be asked,
    /// since the late one may have sent the request to as many servers as the route allows.
    bool onTimer();

private:
    bool isIdempotent() const;
    std::size_t maxForwards() const;
    /// Sends the request to the other host. `usual` is the time after which its answer is late.
    void sendTo(const member &helper, duration usual);
    void onNotTaken(const host_id &coordinator);
    host_id endForward();
    void note(const host_id &host, std::string_view what);

    const relay_context &m_context;
    relay_requests &m_state;
    pending_request &m_request;
    request_completion &m_completion;
};

} // namespace waxwing::relay
