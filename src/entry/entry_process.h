#pragma once

#include "core/clock.h"
#include "entry/admin_front.h"
#include "entry/effect_dispatcher.h"
#include "entry/event_loop.h"
#include "entry/host_settings.h"
#include "entry/line_file.h"
#include "entry/pooled_http.h"
#include "telemetry/json_logger.h"

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>

struct event_base;

namespace waxwing {
/// Owns and connects the components of the process `waxwing-entry`.
class entry_process
{
public:
    /// Opens all ports and files. Fails with Unavailable if one cannot be opened. Events are
    /// recorded to `recordFile` unless it is empty. `time` must outlive the process.
    static absl::StatusOr<std::unique_ptr<entry_process>>
    create(const host_settings &settings, const std::string &recordFile, const clock &time);
    ~entry_process();
    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    /// Runs the event loop until the host has stopped. `randomSeed` seeds the random engine of the
    /// state.
    void run(std::uint64_t randomSeed);

private:
    entry_process(const host_settings &settings, const clock &time);
    absl::Status openFiles(const std::string &recordFile);
    absl::Status openPorts();
    void connect();
    member self() const;
    host_status status() const;
    void exitSoon();

    host_settings m_settings;
    const clock &m_time;
    /// Wall-clock milliseconds at start, so that each restart has a higher incarnation.
    std::uint64_t m_incarnation;
    json_logger m_log;
    metrics_registry m_metrics;
    request_numbers m_numbers;
    std::optional<line_file> m_record;
    std::optional<line_file> m_spanLines;
    std::unique_ptr<span_recorder> m_spans;
    event_base *m_base;
    std::unique_ptr<event_loop> m_loop;
    std::unique_ptr<caller_front> m_callers;
    std::unique_ptr<admin_front> m_admin;
    std::unique_ptr<peer_server> m_peerServer;
    std::unique_ptr<peer_client> m_peers;
    std::unique_ptr<gossip_socket> m_gossip;
    std::unique_ptr<backend_client> m_backends;
    std::unique_ptr<platform_client> m_platform;
    // The destructor destroys these before the clients that use them, so that no callback reaches a
    // destroyed client.
    std::unique_ptr<pooled_http> m_backendHttp;
    std::unique_ptr<pooled_http> m_platformHttp;
    std::unique_ptr<effect_dispatcher> m_dispatcher;
};

} // namespace waxwing
