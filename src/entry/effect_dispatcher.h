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
/// Components that perform the I/O of effects. All of them must outlive the dispatcher.
struct entry_components
{
    caller_front &callers;
    peer_server &peerServer;
    backend_client &backends;
    peer_client &peers;
    platform_client &platform;
    gossip_socket &gossip;
    logger &log;
    metrics_registry &metrics;
    /// Null if no spans are recorded.
    const span_recorder *spans;
    /// Ends the process after the last responses were sent.
    std::function<void()> exit;
};

/// Passes each effect to the component that performs it.
class effect_dispatcher
{
public:
    explicit effect_dispatcher(entry_components components);

    void carryOut(const effect &action);

    /// Overloads for `std::visit`.
    void operator()(const answer_search &action);
    void operator()(const answer_command &action);
    void operator()(const send_leaf_search &action) { m_components.backends.carryOut(action); }
    void operator()(const send_leaf_command &action) { m_components.backends.carryOut(action); }
    void operator()(const cancel_leaf_search &action) { m_components.backends.carryOut(action); }
    void operator()(const poll_health &action) { m_components.backends.carryOut(action); }
    void operator()(const limit_connections &action) { m_components.backends.carryOut(action); }
    void operator()(const forward_search &action) { m_components.peers.carryOut(action); }
    void operator()(const forward_command &action) { m_components.peers.carryOut(action); }
    void operator()(const fetch_peer_state &action) { m_components.peers.carryOut(action); }
    void operator()(const call_platform &action) { m_components.platform.carryOut(action); }
    void operator()(const send_datagram &action) { m_components.gossip.carryOut(action); }
    void operator()(const record_span &action);
    void operator()(const write_log &action) { m_components.log.write(action.entry); }
    void operator()(const count_metric &action);
    void operator()(const sample_metric &action);
    void operator()(const close_callers &action);
    void operator()(const exit_process &action);

private:
    entry_components m_components;
};

} // namespace waxwing
