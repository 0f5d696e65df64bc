#pragma once

#include "entry/backend_client.h"
#include "entry/caller_front.h"
#include "entry/gossip_socket.h"
#include "entry/peer_client.h"
#include "entry/peer_server.h"
#include "entry/platform_client.h"
#include "telemetry/logger.h"
#include "telemetry/span_recorder.h"

#include <functional>

namespace waxwing {

/// Shells that carry out effects. All of them must outlive the dispatcher.
struct entry_shells
{
    /// HTTP server of the callers.
    caller_front &callers;
    /// gRPC server of the peers.
    peer_server &peerServer;
    /// Requests to backend servers.
    backend_client &backends;
    /// Calls to peers.
    peer_client &peers;
    /// Calls to the platform.
    platform_client &platform;
    /// Datagrams to peers.
    gossip_socket &gossip;
    /// Log.
    logger &log;
    /// Metrics.
    metrics_registry &metrics;
    /// Spans; null where none are recorded.
    const span_recorder *spans;
    /// Ends the process.
    std::function<void()> exit;
};

/// Hands each effect to the shell that carries it out.
class effect_dispatcher
{
public:
    explicit effect_dispatcher(entry_shells shells);

    /// Carries out one effect.
    void carryOut(const effect &action);

    /// The effects, by type.
    void operator()(const answer_search &action);
    void operator()(const answer_command &action);
    void operator()(const send_leaf_search &action) { m_shells.backends.carryOut(action); }
    void operator()(const send_leaf_command &action) { m_shells.backends.carryOut(action); }
    void operator()(const cancel_leaf_search &action) { m_shells.backends.carryOut(action); }
    void operator()(const poll_health &action) { m_shells.backends.carryOut(action); }
    void operator()(const limit_connections &action) { m_shells.backends.carryOut(action); }
    void operator()(const forward_search &action) { m_shells.peers.carryOut(action); }
    void operator()(const forward_command &action) { m_shells.peers.carryOut(action); }
    void operator()(const fetch_peer_state &action) { m_shells.peers.carryOut(action); }
    void operator()(const call_platform &action) { m_shells.platform.carryOut(action); }
    void operator()(const send_datagram &action) { m_shells.gossip.carryOut(action); }
    void operator()(const record_span &action);
    void operator()(const write_log &action) { m_shells.log.write(action.entry); }
    void operator()(const count_metric &action);
    void operator()(const sample_metric &action);
    void operator()(const close_callers &action);
    void operator()(const exit_process &action);

private:
    entry_shells m_shells;
};

} // namespace waxwing
