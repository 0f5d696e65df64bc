#include "entry/peer_client.h"

#include "entry/peer_codec.h"
#include "entry/received_configuration.h"

namespace waxwing {
namespace {

/// Returns whether the peer may have received a call that ended with `status`. gRPC has no separate
/// code for a connection that could not be opened, so the text of its channel is matched. With any
/// other text the call is assumed to have been received, which is the safe choice.
bool mayHaveBeenReceived(const grpc::Status &status)
{
    if (status.error_code() == grpc::StatusCode::INVALID_ARGUMENT)
        return false;
    return status.error_code() != grpc::StatusCode::UNAVAILABLE
        || status.error_message().find("failed to connect to all addresses") == std::string::npos;
}

forward_failure toFailure(const grpc::Status &status)
{
    if (status.ok())
        return {true, "malformed reply"};
    return {mayHaveBeenReceived(status),
            "gRPC status " + std::to_string(status.error_code()) + ": " + status.error_message()};
}

} // namespace

/// A call in progress. Owns itself until its operation has completed.
class peer_client::pending_call
{
public:
    explicit pending_call(std::shared_ptr<wire::Peer::Stub> stub) : m_stub(std::move(stub)) { }
    virtual ~pending_call() = default;

    /// Cancels the call without reporting a result.
    void cancel()
    {
        m_owner = nullptr;
        context.TryCancel();
    }

protected:
    friend class peer_client;
    grpc::ClientContext context;
    peer_client *m_owner = nullptr;

private:
    std::shared_ptr<wire::Peer::Stub> m_stub;
};

template<typename Reply>
class peer_client::unary_call final : public pending_call
{
public:
    using done_function = std::function<void(const grpc::Status &, const Reply &)>;

    unary_call(std::shared_ptr<wire::Peer::Stub> stub, done_function onDone)
        : pending_call(std::move(stub)), m_onDone(std::move(onDone)),
          m_finished([this](bool) { onFinished(); })
    { }

    void begin(std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader)
    {
        m_reader = std::move(reader);
        m_reader->Finish(&m_reply, &m_status, &m_finished);
    }

private:
    void onFinished()
    {
        const std::unique_ptr<unary_call> self(this);
        if (m_owner == nullptr)
            return;
        m_owner->m_calls.erase(this);
        m_onDone(m_status, m_reply);
    }

    std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> m_reader;
    Reply m_reply;
    grpc::Status m_status;
    done_function m_onDone;
    completion m_finished;
};

peer_client::peer_client(grpc::CompletionQueue &queue, const peer_limits &limits, logger &log,
                         event_sink onEvent)
    : m_queue(queue), m_limits(limits), m_log(log), m_onEvent(std::move(onEvent)),
      m_channels(limits)
{ }

peer_client::~peer_client()
{
    for (pending_call *each : m_calls)
        each->cancel();
}

template<typename Reply, typename Start, typename Done>
void peer_client::call(const endpoint &peer, std::chrono::milliseconds timeout, Start start,
                       Done onDone)
{
    auto stub = m_channels.get(peer);
    auto *started = new unary_call<Reply>(stub, std::move(onDone));
    started->m_owner = this;
    // gRPC takes wall clock deadlines and converts them immediately.
    started->context.set_deadline(std::chrono::system_clock::now() + timeout);
    m_calls.insert(started);
    started->begin(start(*stub, started->context));
}

void peer_client::carryOut(const forward_search &action)
{
    const auto request = toWire(action.request);
    call<wire::SearchReply>(
        action.peer, action.request.timeout + m_limits.forwardMargin,
        [&](auto &stub, auto &context) {
            return stub.AsyncForwardSearch(&context, request, &m_queue);
        },
        [this, attempt = action.attempt](const grpc::Status &status, const auto &reply) {
            forwarded_search_finished result{attempt, toFailure(status)};
            if (auto outcome = status.ok() ? fromWire(reply) : std::nullopt)
                result.outcome = *std::move(outcome);
            m_onEvent(std::move(result));
        });
}

void peer_client::carryOut(const forward_command &action)
{
    const auto request = toWire(action.request);
    call<wire::CommandReply>(
        action.peer, action.request.timeout + m_limits.forwardMargin,
        [&](auto &stub, auto &context) {
            return stub.AsyncForwardCommand(&context, request, &m_queue);
        },
        [this, attempt = action.attempt](const grpc::Status &status, const auto &reply) {
            forwarded_command_finished result{attempt, toFailure(status)};
            if (auto outcome = status.ok() ? fromWire(reply) : std::nullopt)
                result.outcome = *std::move(outcome);
            m_onEvent(std::move(result));
        });
}

void peer_client::carryOut(const fetch_peer_state &action)
{
    call<wire::StateReply>(
        action.peer, m_limits.stateTimeout,
        [&](auto &stub, auto &context) {
            return stub.AsyncFetchState(&context, wire::StateRequest(), &m_queue);
        },
        [this, attempt = action.attempt, peer = action.peer](const grpc::Status &status,
                                                             const auto &reply) {
            peer_state_fetched result{attempt, false, {}, {}};
            if (auto state = status.ok() ? fromWire(reply) : std::nullopt) {
                result.succeeded = true;
                result.state = *std::move(state);
                if (!result.state.configurationText.empty())
                    result.parsed =
                        parseReceived(result.state.configurationText, peer.toString(), m_log);
            }
            m_onEvent(std::move(result));
        });
}

} // namespace waxwing
