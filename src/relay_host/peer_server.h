#pragma once

#include "http/raw_server.h"
#include "relay_host/pass_profile.h"
#include "relay_host/rejection_log.h"
#include "relay_host/relay_loop.h"
#include "relay_host/wire_codec.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace waxwing::relay {

/// HTTP server for other hosts: their store calls, and requests of their callers that they forward.
class peer_server
{
public:
    /// Whether an address belongs to a host of the fleet.
    using member_test = std::function<bool(const endpoint &sender)>;

    /// Starts to listen. Only members may send bodies. `base`, `time`, `codec`, `profile`, `memory`
    /// and `rejections` must outlive the server.
    static absl::StatusOr<std::unique_ptr<peer_server>>
    create(event_base *base, const loop_clock &time, const endpoint &listen,
           const wire_codec &codec, pass_profile &profile, memory_budget &memory,
           rejection_log &rejections, member_test isMember, const relay_event_sink &onEvent);

    /// Applies the size limits of callers to the requests that hosts forward for them.
    void setCallerLimits(const caller_limits &limits);
    /// Answers store calls.
    void carryOut(const answer_peer &action);
    /// Answers a forwarded request.
    void carryOut(const answer_forwarded &action);
    /// Whether other hosts have not taken all of their answers.
    bool hasUnsentBytes() const { return m_server->hasUnsentBytes(); }
    /// Address that the server is bound to.
    endpoint localEndpoint() const { return m_server->localEndpoint(); }

private:
    peer_server(const loop_clock &time, const wire_codec &codec, pass_profile &profile,
                rejection_log &rejections, relay_event_sink onEvent);
    void onRequest(request_id id, const http::raw_request &message);
    void onGone(request_id id);
    void onRejected(http::response &answer, const http::rejection &reason) const;
    void respond(request_id id, http::response &answer);

    const loop_clock &m_time;
    const wire_codec &m_codec;
    pass_profile &m_profile;
    rejection_log &m_rejections;
    relay_event_sink m_onEvent;
    /// Ids that other hosts gave their unanswered requests.
    absl::flat_hash_map<std::uint64_t, std::string> m_callIds;
    std::unique_ptr<http::raw_server> m_server;
};

} // namespace waxwing::relay
