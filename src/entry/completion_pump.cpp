#include "entry/completion_pump.h"

#include <event2/event.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cassert>

namespace waxwing {
completion_pump::completion_pump(event_base *base, std::unique_ptr<grpc::CompletionQueue> queue)
    : m_queue(std::move(queue)), m_wakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      m_read(event_new(base, m_wakeUp, EV_READ | EV_PERSIST, &onReadable, this))
{
    assert(m_wakeUp >= 0);
    event_add(m_read, nullptr);
    m_thread = std::thread([this] { blockOnQueue(); });
}

completion_pump::~completion_pump()
{
    m_queue->Shutdown();
    m_thread.join();
    runCompleted();
    event_free(m_read);
    close(m_wakeUp);
}

void completion_pump::onReadable(int descriptor, short /*events*/, void *self)
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = read(descriptor, &count, sizeof count);
    static_cast<completion_pump *>(self)->runCompleted();
}

void completion_pump::blockOnQueue()
{
    void *tag = nullptr;
    bool succeeded = false;
    while (m_queue->Next(&tag, &succeeded)) {
        bool isFirst = false;
        {
            const std::lock_guard lock(m_mutex);
            isFirst = m_completed.empty();
            m_completed.push_back({static_cast<completion *>(tag), succeeded});
        }
        // One write wakes the event loop for all tags that it has not taken yet.
        const std::uint64_t one = 1;
        if (isFirst && write(m_wakeUp, &one, sizeof one) < 0)
            assert(errno == EAGAIN);
    }
}

void completion_pump::runCompleted()
{
    std::vector<completed_tag> completed;
    {
        const std::lock_guard lock(m_mutex);
        completed.swap(m_completed);
    }
    for (const completed_tag &each : completed)
        (*each.tag)(each.succeeded);
}

} // namespace waxwing
