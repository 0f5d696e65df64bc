#pragma once

#include "entry/completion_pump.h"
#include "entry/event_sink.h"
#include "entry/host_settings.h"
#include "entry/peer_call.h"
#include "entry/request_numbers.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>

namespace waxwing {

/// gRPC server for other entry hosts. Converts calls to events and outcomes to replies.
class peer_server
{
public:
    /// Returns the members, facts and configuration that are sent to a peer on request.
    using state_source = std::function<peer_state()>;

    /// Starts to listen immediately. `numbers` and `metrics` must outlive the server.
    static absl::StatusOr<std::unique_ptr<peer_server>>
    create(event_base *base, const endpoint &listen, const peer_limits &limits,
           request_numbers &numbers, metrics_registry &metrics, state_source readState,
           event_sink onEvent);
    ~peer_server();

    /// Replies to a search. Returns false if the request is not from a peer.
    bool answer(request_id id, const search_outcome &outcome);
    /// Replies to a command. Returns false if the request is not from a peer.
    bool answer(request_id id, const command_outcome &outcome);
    /// Completion queue, shared with outgoing calls to peers so that one thread serves both.
    grpc::CompletionQueue &queue() { return m_pump->queue(); }
    /// Listening address, with the port assigned by the system.
    const endpoint &localEndpoint() const { return m_local; }

private:
    using search_call = peer_call<wire::SearchRequest, wire::SearchReply>;
    using command_call = peer_call<wire::CommandRequest, wire::CommandReply>;
    using state_call = peer_call<wire::StateRequest, wire::StateReply>;

    /// Calls of one method that forwards requests of callers.
    template<typename Call>
    class forwarded_calls;
    class state_calls;

    peer_server(request_numbers &numbers, metrics_registry &metrics, state_source readState,
                event_sink onEvent);
    void start(event_base *base, std::unique_ptr<grpc::ServerCompletionQueue> queue);

    request_numbers &m_numbers;
    metrics_registry &m_metrics;
    state_source m_readState;
    event_sink m_onEvent;
    endpoint m_local;
    bool m_closing = false;
    wire::Peer::AsyncService m_service;
    grpc::ServerCompletionQueue *m_queue = nullptr;
    std::unique_ptr<forwarded_calls<search_call>> m_searches;
    std::unique_ptr<forwarded_calls<command_call>> m_commands;
    std::unique_ptr<state_calls> m_states;
    std::unique_ptr<grpc::Server> m_server;
    std::unique_ptr<completion_pump> m_pump;
};

} // namespace waxwing
