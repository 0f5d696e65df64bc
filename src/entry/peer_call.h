#pragma once

#include "entry/completion_pump.h"

#include <peer.grpc.pb.h>

namespace waxwing {

/// Receives the calls of one gRPC method. Its functions run on the event loop.
template<typename Call>
class peer_call_observer
{
public:
    virtual ~peer_call_observer() = default;
    /// Called when a call arrives. The observer must accept the next call and reply to this one.
    virtual void onAccepted(Call &call) = 0;
    /// Called when the peer cancels a call before the reply. No reply may be sent afterwards.
    virtual void onCancelled(Call &call) = 0;
};

/// Incoming gRPC call. Owns itself from `accept` until its last operation has completed.
template<typename Request, typename Reply>
class peer_call
{
public:
    /// Generated `Request...` method of the service that accepts a call.
    using accept_function = void (wire::Peer::AsyncService::*)(
        grpc::ServerContext *, Request *, grpc::ServerAsyncResponseWriter<Reply> *,
        grpc::CompletionQueue *, grpc::ServerCompletionQueue *, void *);
    using observer = peer_call_observer<peer_call>;

    /// Waits for the next call. `callObserver` must outlive the completion queue's last operation.
    static void accept(wire::Peer::AsyncService &service, accept_function function,
                       grpc::ServerCompletionQueue &queue, observer &callObserver)
    {
        auto *call = new peer_call(callObserver);
        call->m_context.AsyncNotifyWhenDone(&call->m_done);
        (service.*function)(&call->m_context, &call->m_request, &call->m_writer, &queue, &queue,
                            &call->m_accepted);
    }

    const Request &request() const { return m_request; }
    /// Sends the reply.
    void reply(const Reply &message)
    {
        beginFinish();
        m_writer.Finish(message, grpc::Status::OK, &m_finished);
    }
    /// Ends the call with an error.
    void fail(const grpc::Status &status)
    {
        beginFinish();
        m_writer.FinishWithError(status, &m_finished);
    }

private:
    explicit peer_call(observer &callObserver)
        : m_observer(callObserver), m_writer(&m_context),
          m_accepted([this](bool succeeded) { onAccepted(succeeded); }),
          m_done([this](bool) { onDone(); }), m_finished([this](bool) { release(); })
    { }

    void onAccepted(bool succeeded)
    {
        if (!succeeded) {
            // The server is shutting down; gRPC does not complete `m_done` for a call that never
            // started.
            delete this;
            return;
        }
        m_outstanding = 1;
        m_observer.onAccepted(*this);
    }

    void beginFinish()
    {
        m_answered = true;
        ++m_outstanding;
    }

    void onDone()
    {
        if (!m_answered)
            m_observer.onCancelled(*this);
        release();
    }

    void release()
    {
        if (--m_outstanding == 0)
            delete this;
    }

    observer &m_observer;
    grpc::ServerContext m_context;
    Request m_request;
    grpc::ServerAsyncResponseWriter<Reply> m_writer;
    completion m_accepted;
    completion m_done;
    completion m_finished;
    /// Number of gRPC operations that have not completed.
    int m_outstanding = 0;
    bool m_answered = false;
};

} // namespace waxwing
