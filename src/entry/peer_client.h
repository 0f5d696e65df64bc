#pragma once

#include "entry/completion_pump.h"
#include "entry/event_sink.h"
#include "entry/host_settings.h"
#include "entry/peer_channels.h"
#include "events/effect.h"
#include "telemetry/logger.h"

#include <memory>
#include <set>

namespace waxwing {

/// gRPC client for calls to other entry hosts.
class peer_client
{
public:
    /// Completed operations of `queue` must run on the event loop, even after the client is
    /// destroyed. `log` must outlive the client.
    peer_client(grpc::CompletionQueue &queue, const peer_limits &limits, logger &log,
                event_sink onEvent);
    /// Cancels the calls in progress without sending events for them.
    ~peer_client();

    /// Sends `forwarded_search_finished` on completion.
    void carryOut(const forward_search &action);
    /// Sends `forwarded_command_finished` on completion.
    void carryOut(const forward_command &action);
    /// Sends `peer_state_fetched` on completion.
    void carryOut(const fetch_peer_state &action);

private:
    class pending_call;
    template<typename Reply>
    class unary_call;

    template<typename Reply, typename Start, typename Done>
    void call(const endpoint &peer, std::chrono::milliseconds timeout, Start start, Done onDone);

    grpc::CompletionQueue &m_queue;
    peer_limits m_limits;
    logger &m_log;
    event_sink m_onEvent;
    peer_channels m_channels;
    std::set<pending_call *> m_calls;
};

} // namespace waxwing
