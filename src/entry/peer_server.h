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

/// gRPC server of the other entry hosts. Turns calls into events and outcomes into replies.
class peer_server
{
public:
    /// Gives members, facts and configuration for a peer that asks for them.
    using state_source = std::function<peer_state()>;

    /// Listens at once. `numbers` and `metrics` must outlive the server.
    static absl::StatusOr<std::unique_ptr<peer_server>>
    create(event_base *base, const endpoint &listen, const peer_limits &limits,
           request_numbers &numbers, metrics_registry &metrics, state_source readState,
           event_sink onEvent);
    ~peer_server();

    /// Answers a search. Returns false if the request is not from a peer.
    bool answer(request_id id, const search_outcome &outcome);
    /// Answers a command. Returns false if the request is not from a peer.
    bool answer(request_id id, const command_outcome &outcome);
    /// The queue that calls to peers share, so that one thread serves both.
    grpc::CompletionQueue &queue() { return m_pump->queue(); }
    /// The address that is listened on, with the port that the system chose.
    const endpoint &localEndpoint() const { return m_local; }

private:
    using search_call = peer_call<wire::SearchRequest, wire::SearchReply>;
    using command_call = peer_call<wire::CommandRequest, wire::CommandReply>;
    using state_call = peer_call<wire::StateRequest, wire::StateReply>;

    /// Calls of one method that carries requests of callers.
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
