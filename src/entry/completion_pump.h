#pragma once

#include <event2/event.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace waxwing {

/// Operation on a gRPC completion queue; its address is the tag. Called on the loop.
using completion = std::function<void(bool succeeded)>;

/// Passes completed gRPC operations to the loop. Its thread blocks on the queue, stores tags and
/// writes to an eventfd; it runs no other code and accesses no other state.
class completion_pump
{
public:
    /// Starts the thread.
    completion_pump(event_base *base, std::unique_ptr<grpc::CompletionQueue> queue);
    /// Shuts the queue down and runs what is still on it. The server of the queue has to be shut
    /// down before, and no operation may be started any more.
    ~completion_pump();
    completion_pump(const completion_pump &) = delete;
    completion_pump &operator=(const completion_pump &) = delete;

    /// The queue, for new operations. Tags are pointers to `completion` that stay valid until they
    /// are called.
    grpc::CompletionQueue &queue() { return *m_queue; }

private:
    /// Completed operation.
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
