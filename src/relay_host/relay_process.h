#pragma once

#include "entry/gossip_socket.h"
#include "http/server.h"
#include "loop/loop_clock.h"
#include "memory_budget/memory_budget.h"
#include "relay_host/caller_server.h"
#include "relay_host/leaf_client.h"
#include "relay_host/pass_profile.h"
#include "relay_host/peer_server.h"
#include "relay_host/rejection_log.h"
#include "relay_host/relay_host_settings.h"
#include "relay_host/relay_loop.h"
#include "relay_host/request_forwarder.h"
#include "relay_host/store_client.h"
#include "settings/settings_file_watch.h"
#include "telemetry/bounded_logger.h"
#include "telemetry/metrics_registry.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace waxwing::relay {

/// Owns and connects the servers, clients and event loop of the process `waxwing-relay`.
class relay_process
{
public:
    /// Binds all listening addresses. Fails with Unavailable if one cannot be bound. `settingsFile`
    /// is reloaded on SIGHUP. `codec` and `time` must outlive the process.
    static absl::StatusOr<std::unique_ptr<relay_process>>
    create(const relay_host_settings &settings, std::string settingsFile, const wire_codec &codec,
           const clock &time);
    ~relay_process();
    relay_process(const relay_process &) = delete;
    relay_process &operator=(const relay_process &) = delete;

    /// Runs the event loop until the host has stopped. `randomSeed` seeds the random engine of the
    /// state.
    void run(std::uint64_t randomSeed);

private:
    relay_process(const relay_host_settings &settings, std::string settingsFile,
                  memory_budget memory, const wire_codec &codec, const clock &time);
    absl::Status openListeners();
    void carryOut(const relay_effect &action);
    member localMember() const;
    std::string renderMemory() const;
    void respondToReadinessProbe(const http::request &message, http::responder reply) const;
    void respondToMetricsRequest(const http::request &message, http::responder reply) const;
    void reload();
    void onRequestWritten(const http::call &request, duration delay);
    void onResponseInDoubt(const http::call &request, const http::raw_response &response,
                           http::response_doubt doubt);
    void onPassEnd();
    /// Ends the event loop once all answers are taken, at `by` at the latest.
    void scheduleExit(time_point by);
    static void onExitCheck(int socket, short events, void *self);
    static void onFlush(int socket, short events, void *self);
    /// Reads the settings again if their file has changed, since no signal needs to say so.
    static void onSettingsCheck(int socket, short events, void *self);
    static void onHangup(int signal, short events, void *self);

    relay_host_settings m_settings;
    std::string m_settingsFile;
    settings_file_watch m_settingsWatch;
    const wire_codec &m_codec;
    loop_clock m_time;
    /// Wall-clock time of the start in milliseconds, so that each restart has a higher incarnation.
    std::uint64_t m_incarnation;
    bounded_logger m_log;
    metrics_registry m_metrics;
    rejection_log m_rejections;
    /// Counts the bytes that are held for others.
    memory_budget m_memory;
    pass_profile m_profile;
    event_base *m_base;
    http::event_ptr m_flushTimer;
    http::event_ptr m_settingsTimer;
    http::event_ptr m_hangup;
    http::event_ptr m_exitTimer;
    time_point m_exitBy{};
    std::unique_ptr<relay_loop> m_loop;
    std::unique_ptr<caller_server> m_callerServer;
    std::unique_ptr<http::server> m_readinessServer;
    std::unique_ptr<http::server> m_metricsServer;
    std::unique_ptr<gossip_socket> m_gossip;
    std::unique_ptr<peer_server> m_peerServer;
    std::unique_ptr<leaf_client> m_leafClient;
    /// Connects the servers' answers with the callers' connections, which end before it.
    std::unique_ptr<answer_pipes> m_answerPipes;
    std::unique_ptr<request_forwarder> m_forwarder;
    std::unique_ptr<store_client> m_storeClient;
};

} // namespace waxwing::relay
