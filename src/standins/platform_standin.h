#pragma once

#include "core/clock.h"
#include "http/server.h"
#include "standins/call_counters.h"
#include "standins/delayed_calls.h"
#include "standins/host_list.h"
#include "standins/object_store.h"
#include "standins/platform_faults.h"

#include <map>
#include <memory>
#include <string>

namespace waxwing::standins {

/// Settings of a `platform_standin`.
struct platform_standin_settings
{
    /// Address to listen on.
    endpoint listen{"127.0.0.1", 0};
    /// Largest value of an object, in bytes.
    std::size_t maxValueBytes = 1'000'000;
    /// Longest wait of a watch.
    std::chrono::milliseconds maxWait{60'000};
    /// Faults from the start.
    platform_faults faults;

    bool operator==(const platform_standin_settings &) const = default;
};

/// Stand-in for the platform's object API and host list, with faults that are switched while it
/// runs. Control paths (`/faults`, `/counters`, `PUT /hosts`) are neither counted nor faulty.
class platform_standin
{
public:
    /// Listens at once. `base` and `time` outlive the result.
    static absl::StatusOr<std::unique_ptr<platform_standin>>
    create(event_base *base, const clock &time, const platform_standin_settings &settings);

    /// Address that is listened on.
    endpoint localEndpoint() const { return m_server->localEndpoint(); }
    /// Replaces the host list.
    absl::Status setHosts(nlohmann::json document);
    /// Counts of calls.
    const call_counters &counters() const { return m_counters; }

private:
    using shared_responder = std::shared_ptr<http::responder>;

    /// A read that waits for a newer version.
    struct watch
    {
        object_store::key id;
        std::uint64_t after;
        shared_responder to;
        std::uint64_t timeout;
    };

    platform_standin(event_base *base, const clock &time, platform_standin_settings settings);

    void handle(const http::request &message, http::responder to);
    bool handleControl(const http::request &message, const shared_responder &to);
    http::response changeFaults(const std::string &body);
    http::response countersResponse() const;
    void fail(const shared_responder &to);
    void handleObject(const http::request &message, const shared_responder &to);
    void read(const object_store::key &id, const http::request &message,
              const shared_responder &to);
    void wait(const object_store::key &id, std::uint64_t after, std::chrono::milliseconds most,
              const shared_responder &to);
    void write(const object_store::key &id, const http::request &message,
               const shared_responder &to);
    http::response list(const std::string &kind) const;
    http::response conflict(const object_store::key &id) const;
    void wakeWatches();
    void endWatches();
    void answer(const shared_responder &to, http::response response);

    const clock &m_clock;
    platform_standin_settings m_settings;
    object_store m_objects;
    host_list m_hosts;
    platform_faults m_faults;
    call_counters m_counters;
    std::uint64_t m_nextWatch = 1;
    std::map<std::uint64_t, watch> m_watches;
    std::vector<shared_responder> m_hanging;
    delayed_calls m_delayed;
    std::unique_ptr<http::server> m_server;
};

} // namespace waxwing::standins
