#include "entry/peer_server.h"

#include "entry/peer_codec.h"

#include <grpcpp/resource_quota.h>

namespace waxwing {
namespace {

event_body receivedEvent(request_id id, search_request request)
{
    return search_received{id, std::move(request), true};
}

event_body receivedEvent(request_id id, command_request request)
{
    return command_received{id, std::move(request), true};
}

void limitResources(grpc::ServerBuilder &builder, const peer_limits &limits)
{
    grpc::ResourceQuota quota("peer_server");
    quota.Resize(limits.memoryBytes);
    quota.SetMaxThreads(static_cast<int>(limits.threads));
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(static_cast<int>(limits.messageBytes));
    builder.SetMaxSendMessageSize(static_cast<int>(limits.messageBytes));
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS,
                               static_cast<int>(limits.callsPerPeer));
    // Without this, a second process could bind the same port and receive some of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
}

} // namespace

template<typename Call>
class peer_server::forwarded_calls final : public peer_call_observer<Call>
{
public:
    forwarded_calls(peer_server &owner, typename Call::accept_function function)
        : m_owner(owner), m_function(function)
    {
        acceptNext();
    }

    void onAccepted(Call &call) override
    {
        acceptNext();
        auto request = fromWire(call.request());
        if (!request) {
            m_owner.m_metrics.count("peer_malformed_requests_total");
            call.fail({grpc::StatusCode::INVALID_ARGUMENT, "malformed request"});
            return;
        }
        const request_id id = m_owner.m_numbers.next();
        m_pending.emplace(id, &call);
        m_ids.emplace(&call, id);
        m_owner.m_onEvent(receivedEvent(id, *std::move(request)));
    }

    void onCancelled(Call &call) override
    {
        const auto found = m_ids.find(&call);
        if (found == m_ids.end())
            return;
        const request_id id = found->second;
        m_pending.erase(id);
        m_ids.erase(found);
        if (!m_owner.m_closing)
            m_owner.m_onEvent(caller_gone{id});
    }

    template<typename Outcome>
    bool answer(request_id id, const Outcome &outcome)
    {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return false;
        Call &call = *found->second;
        m_ids.erase(&call);
        m_pending.erase(found);
        call.reply(toWire(outcome));
        return true;
    }

private:
    void acceptNext()
    {
        if (!m_owner.m_closing)
            Call::accept(m_owner.m_service, m_function, *m_owner.m_queue, *this);
    }

    peer_server &m_owner;
    typename Call::accept_function m_function;
    std::map<request_id, Call *> m_pending;
    std::map<const Call *, request_id> m_ids;
};

class peer_server::state_calls final : public peer_call_observer<state_call>
{
public:
    explicit state_calls(peer_server &owner) : m_owner(owner) { acceptNext(); }

    void onAccepted(state_call &call) override
    {
        acceptNext();
        call.reply(toWire(m_owner.m_readState()));
    }

    void onCancelled(state_call & /*call*/) override { }

private:
    void acceptNext()
    {
        if (!m_owner.m_closing)
            state_call::accept(m_owner.m_service, &wire::Peer::AsyncService::RequestFetchState,
                               *m_owner.m_queue, *this);
    }

    peer_server &m_owner;
};

absl::StatusOr<std::unique_ptr<peer_server>>
peer_server::create(event_base *base, const endpoint &listen, const peer_limits &limits,
                    request_numbers &numbers, metrics_registry &metrics, state_source readState,
                    event_sink onEvent)
{
    std::unique_ptr<peer_server> result(
        new peer_server(numbers, metrics, std::move(readState), std::move(onEvent)));
    grpc::ServerBuilder builder;
    limitResources(builder, limits);
    int port = 0;
    builder.AddListeningPort(listen.toString(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&result->m_service);
    auto queue = builder.AddCompletionQueue();
    result->m_server = builder.BuildAndStart();
    if (result->m_server == nullptr || port == 0) {
        queue->Shutdown();
        return absl::UnavailableError("gRPC " + listen.toString() + ": cannot listen");
    }
    result->m_local = {listen.address, static_cast<std::uint16_t>(port)};
    result->start(base, std::move(queue));
    return result;
}

peer_server::peer_server(request_numbers &numbers, metrics_registry &metrics,
                         state_source readState, event_sink onEvent)
    : m_numbers(numbers), m_metrics(metrics), m_readState(std::move(readState)),
      m_onEvent(std::move(onEvent))
{ }

peer_server::~peer_server()
{
    m_closing = true;
    // Calls in progress are cancelled immediately; the pump completes their last operations.
    if (m_server != nullptr)
        m_server->Shutdown(std::chrono::system_clock::now());
    m_pump.reset();
}

void peer_server::start(event_base *base, std::unique_ptr<grpc::ServerCompletionQueue> queue)
{
    m_queue = queue.get();
    m_pump = std::make_unique<completion_pump>(base, std::move(queue));
    m_searches = std::make_unique<forwarded_calls<search_call>>(
        *this, &wire::Peer::AsyncService::RequestForwardSearch);
    m_commands = std::make_unique<forwarded_calls<command_call>>(
        *this, &wire::Peer::AsyncService::RequestForwardCommand);
    m_states = std::make_unique<state_calls>(*this);
}

bool peer_server::answer(request_id id, const search_outcome &outcome)
{
    return m_searches->answer(id, outcome);
}

bool peer_server::answer(request_id id, const command_outcome &outcome)
{
    return m_commands->answer(id, outcome);
}

} // namespace waxwing
