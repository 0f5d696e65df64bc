#pragma once

#include <event2/event.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace waxwing {
/// Callback of a gRPC operation; its address is the tag. Called on the event loop.
using completion = std::function<void(bool succeeded)>;

/// Passes completed gRPC operations to the event loop. A thread blocks on the completion queue,
/// stores completed tags and writes to an eventfd. It runs no other code and accesses no other
/// state.
class completion_pump
{
public:
    /// Starts the thread.
    completion_pump(event_base *base, std::unique_ptr<grpc::CompletionQueue> queue);
    /// Shuts the queue down and runs the callbacks that remain on it. The gRPC server that uses the
    /// queue must be shut down before, and no operation may be started afterwards.
    ~completion_pump();
    completion_pump(const completion_pump &) = delete;
    completion_pump &operator=(const completion_pump &) = delete;

    /// Queue for new operations. Each tag must be a pointer to a `completion` that stays valid
    /// until it is called.
    grpc::CompletionQueue &queue() { return *m_queue; }

private:
    struct completed_tag
    {
        completion *tag;
        bool succeeded;
    };

    static void onReadable(int descriptor, short events, void *self);
    void blockOnQueue();
    void runCompleted();

    std::unique_ptr<grpc::CompletionQueue> m_queue;
    int m_wakeUp;
    struct ::event *m_read;
    std::mutex m_mutex;
    std::vector<completed_tag> m_completed;
    std::thread m_thread;
};

} // namespace waxwing
