#include "relay_host/relay_process.h"

#include "loop/run_loop.h"
#include "relay_host/quota_metrics.h"
#include "settings/settings_file.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <unistd.h>

#include <cassert>
#include <csignal>
#include <type_traits>
#include <utility>

namespace waxwing::relay {
namespace {

/// Time to send the last answers between `exit_process` and the end of the event loop, and interval
/// at which it is checked whether callers have taken them.
constexpr timeval exitDelay{0, 50'000};
/// Largest body of a readiness probe or of a request for metrics, which have none, in bytes.
constexpr std::size_t maxProbeBody = 1024;
/// Time between the decision to send a request to a server and its write from which it is logged.
constexpr std::chrono::milliseconds minLoggedWriteDelay{100};
/// Interval at which the settings file is looked at. A host whose seeds lead nowhere waits for
/// others as long.
constexpr timeval settingsCheckInterval{1, 0};
/// Interval at which buffered log lines are written.
constexpr timeval flushInterval{0, 500'000};

event_base *createEventBase()
{
    // libevent's precise timers cost one system call per loop iteration. The coarse clock is a few
    // milliseconds off, which the margins of the deadlines cover.
    event_base *base = event_base_new();
    assert(base != nullptr);
    return base;
}

/// Passes the effect to the first of `shells` with a matching `carryOut`. Returns false if there is
/// none.
template<typename Action, typename... Shells>
bool dispatchEffect(const Action &action, Shells &...shells)
{
    const auto carryOutIfSupported = [&action](auto &shell) {
        if constexpr (requires { shell.carryOut(action); }) {
            shell.carryOut(action);
            return true;
        } else {
            return false;
        }
    };
    return (carryOutIfSupported(shells) || ...);
}

std::string doubtName(http::response_doubt doubt)
{
    switch (doubt) {
    case http::response_doubt::OtherValue:
        return "other_id";
    case http::response_doubt::NoValue:
        return "no_id";
    }
    return "unknown";
}

} // namespace

absl::StatusOr<std::unique_ptr<relay_process>>
relay_process::create(const relay_host_settings &settings, std::string settingsFile,
                      const wire_codec &codec, const clock &time)
{
    absl::StatusOr<memory_budget> memory = memory_budget::create(settings.memory.budget());
    if (!memory.ok())
        return memory.status();
    std::unique_ptr<relay_process> result(
        new relay_process(settings, std::move(settingsFile), *std::move(memory), codec, time));
    if (absl::Status status = result->openListeners(); !status.ok())
        return status;
    return result;
}

relay_process::relay_process(const relay_host_settings &settings, std::string settingsFile,
                             memory_budget memory, const wire_codec &codec, const clock &time)
    : m_settings(settings), m_settingsFile(std::move(settingsFile)),
      m_settingsWatch(m_settingsFile), m_codec(codec), m_time(time),
      m_incarnation(static_cast<std::uint64_t>(time.wallNow().time_since_epoch().count())),
      m_log(time, {.minimum = settings.logLevel, .host = settings.reducerSettings.host.value},
            descriptorSink(STDOUT_FILENO)),
      m_rejections(m_time, m_log, m_metrics), m_memory(std::move(memory)),
      m_base(createEventBase()), m_flushTimer(event_new(m_base, -1, EV_PERSIST, &onFlush, this)),
      m_settingsTimer(event_new(m_base, -1, EV_PERSIST, &onSettingsCheck, this)),
      m_hangup(evsignal_new(m_base, SIGHUP, &onHangup, this))
{
    event_add(m_flushTimer.get(), &flushInterval);
    event_add(m_settingsTimer.get(), &settingsCheckInterval);
    event_add(m_hangup.get(), nullptr);
    m_loop = std::make_unique<relay_loop>(
        m_base, m_time, relay_state::create(m_settings.reducerSettings),
        [this](const relay_effect &action) { carryOut(action); }, nullptr);
    const relay_event_sink sink = [this](relay_event_body body) { m_loop->post(std::move(body)); };
    http::client_pool_settings servers;
    servers.messages.bodyBytes = m_settings.memory.bufferedAnswer;
    m_leafClient = std::make_unique<leaf_client>(m_base, m_time, servers, m_codec, m_metrics, sink);
    m_leafClient->limitMemory(m_memory);
    m_answerPipes = std::make_unique<answer_pipes>(m_leafClient->connections(), m_metrics);
    m_leafClient->useForLargeAnswers(*m_answerPipes);
    m_leafClient->observeWrites(
        [this](const http::call &request, duration delay) { onRequestWritten(request, delay); });
    m_leafClient->observeDoubts(
        [this](const http::call &request, const http::raw_response &response,
               http::response_doubt doubt) { onResponseInDoubt(request, response, doubt); });
    m_forwarder = std::make_unique<request_forwarder>(
        m_base, m_time, m_settings.listen.gossip.address, m_settings.memory.bufferedAnswer, m_codec,
        m_memory, sink);
    store_client_settings store;
    store.address = m_settings.store;
    m_storeClient = std::make_unique<store_client>(m_base, m_time, store, m_codec, m_memory,
                                                   m_metrics, m_profile, sink);
}

relay_process::~relay_process()
{
    m_storeClient.reset();
    m_forwarder.reset();
    m_leafClient.reset();
    m_peerServer.reset();
    m_gossip.reset();
    m_metricsServer.reset();
    m_readinessServer.reset();
    m_callerServer.reset();
    m_loop.reset();
    m_exitTimer.reset();
    m_hangup.reset();
    m_settingsTimer.reset();
    m_flushTimer.reset();
    event_base_free(m_base);
}

absl::Status relay_process::openListeners()
{
    const relay_event_sink sink = [this](relay_event_body body) { m_loop->post(std::move(body)); };
    http::raw_server_settings callers;
    callers.listen = m_settings.listen.callers;
    auto callerServer = caller_server::create(m_base, m_time, callers, m_codec, m_memory,
                                              m_rejections, *m_answerPipes, sink);
    if (!callerServer.ok())
        return callerServer.status();
    m_callerServer = *std::move(callerServer);

    http::server_settings httpSettings;
    httpSettings.listen = m_settings.listen.ready;
    httpSettings.maxBodyBytes = maxProbeBody;
    const http::connection_memory probes{&m_memory, memory_use::Hosts, memory_use::Hosts};
    auto readinessServer = http::server::create(
        m_base, httpSettings, [this](const http::request &message, http::responder reply) {
            respondToReadinessProbe(message, std::move(reply));
        });
    if (!readinessServer.ok())
        return readinessServer.status();
    m_readinessServer = *std::move(readinessServer);
    m_readinessServer->limitMemory(probes);

    httpSettings.listen = m_settings.listen.metrics;
    auto metricsServer = http::server::create(
        m_base, httpSettings, [this](const http::request &message, http::responder reply) {
            respondToMetricsRequest(message, std::move(reply));
        });
    if (!metricsServer.ok())
        return metricsServer.status();
    m_metricsServer = *std::move(metricsServer);
    m_metricsServer->limitMemory(probes);

    auto gossip =
        gossip_socket::create(m_base, m_settings.listen.gossip, m_metrics, [sink](event_body body) {
            if (auto *datagram = std::get_if<datagram_received>(&body))
                sink(std::move(*datagram));
        });
    if (!gossip.ok())
        return gossip.status();
    m_gossip = *std::move(gossip);

    auto peerServer = peer_server::create(
        m_base, m_time, m_settings.listen.gossip, m_codec, m_profile, m_memory, m_rejections,
        [this](const endpoint &sender) { return m_loop->state().isHostAddress(sender.address); },
        sink);
    if (!peerServer.ok())
        return peerServer.status();
    m_peerServer = *std::move(peerServer);
    return absl::OkStatus();
}

void relay_process::carryOut(const relay_effect &action)
{
    std::visit(
        [this](const auto &each) {
            using kind = std::decay_t<decltype(each)>;
            if constexpr (std::is_same_v<kind, set_caller_limits>)
                m_peerServer->setCallerLimits(each.limits);
            if (dispatchEffect(each, *m_callerServer, *m_peerServer, *m_leafClient, *m_forwarder,
                               *m_storeClient, *m_gossip))
                return;
            if constexpr (std::is_same_v<kind, write_log>)
                m_log.write(each.entry);
            else if constexpr (std::is_same_v<kind, count_metric>)
                m_metrics.count(each.name, each.amount);
            else if constexpr (std::is_same_v<kind, sample_metric>)
                m_metrics.sample(each.name, each.value);
            else if constexpr (std::is_same_v<kind, exit_process>)
                scheduleExit(each.by);
        },
        action);
}

void relay_process::onRequestWritten(const http::call &request, duration delay)
{
    const std::chrono::duration<double> seconds = delay;
    m_metrics.sample("relay_write_delay_seconds", seconds.count());
    if (delay < minLoggedWriteDelay)
        return;
    m_log.write(
        {log_level::Warning,
         "request to a backend server was written late",
         {{"request", request.echoValue},
          {"address", request.peer.toString()},
          {"delay_ms",
           std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(delay).count())}}});
}

void relay_process::onResponseInDoubt(const http::call &request, const http::raw_response &response,
                                      http::response_doubt doubt)
{
    const std::string name = doubtName(doubt);
    m_metrics.count("relay_leaf_responses_in_doubt_total_" + name);
    // Servers that repeat no ids send all their responses without one.
    if (doubt == http::response_doubt::NoValue)
        return;
    const std::string *echoed = http::findField(response.content.headers, request.echoField);
    m_log.write({log_level::Info,
                 "a response of a backend server may answer another request",
                 {{"request", request.echoValue},
                  {"attempt", std::to_string(request.id.value)},
                  {"doubt", name},
                  {"response_to", echoed == nullptr ? "" : *echoed},
                  {"status", std::to_string(response.content.status)},
                  {"address", request.peer.toString()}}});
}

void relay_process::onPassEnd()
{
    if (auto line = m_profile.finish(m_time.lastPassTime(), m_loop->handledEvents()))
        m_log.write(*std::move(line));
}

void relay_process::run(std::uint64_t randomSeed)
{
    m_log.write({log_level::Info,
                 "relay host started",
                 {{"zone", m_settings.reducerSettings.zone.value},
                  {"callers", m_settings.listen.callers.toString()},
                  {"store", m_settings.store.toString()},
                  {"incarnation", std::to_string(m_incarnation)}}});
    m_loop->post(started{localMember(), m_settings.seeds, randomSeed, {}});
    runLoop(m_base, m_time, [this] { onPassEnd(); });
    m_log.write({log_level::Info,
                 "relay host stopped",
                 {{"events", std::to_string(m_loop->handledEvents())},
                  {"log_lines_dropped", std::to_string(m_log.dropped())}}});
    m_log.flush();
}

member relay_process::localMember() const
{
    const endpoint gossip = m_gossip->localEndpoint();
    return {m_settings.reducerSettings.host,
            m_settings.reducerSettings.zone,
            gossip,
            gossip,
            m_incarnation,
            member_state::Alive,
            0,
            m_settings.reducerSettings.linkMbps};
}

void relay_process::respondToReadinessProbe(const http::request &message,
                                            http::responder reply) const
{
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    if (message.path != m_codec.readinessPath())
        reply.respond({notFound, {}, {}});
    else if (m_loop->state().status().ready)
        reply.respond({});
    else
        reply.respond({unavailable, {}, {}});
}

void relay_process::respondToMetricsRequest(const http::request & /*message*/,
                                            http::responder reply) const
{
    const relay_status status = m_loop->state().status();
    std::string text = m_metrics.render();
    fmt::format_to(std::back_inserter(text),
                   "# TYPE waxwing_relay_ready gauge\nwaxwing_relay_ready {}\n"
                   "# TYPE waxwing_relay_routes_version gauge\nwaxwing_relay_routes_version {}\n"
                   "# TYPE waxwing_relay_store_era gauge\nwaxwing_relay_store_era {}\n"
                   "# TYPE waxwing_relay_evacuated_zones gauge\n"
                   "waxwing_relay_evacuated_zones {}\n"
                   "# TYPE waxwing_relay_servers gauge\nwaxwing_relay_servers {}\n"
                   "# TYPE waxwing_relay_server_contact gauge\nwaxwing_relay_server_contact {}\n"
                   "# TYPE waxwing_relay_hosts gauge\nwaxwing_relay_hosts {}\n"
                   "# TYPE waxwing_relay_requests gauge\nwaxwing_relay_requests {}\n"
                   "# TYPE waxwing_log_lines_dropped_total counter\n"
                   "waxwing_log_lines_dropped_total {}\n",
                   status.ready ? 1 : 0, status.routesVersion, status.storeEra,
                   status.evacuatedZones, status.servers, status.hasServerContact ? 1 : 0,
                   status.hosts, status.requests, m_log.dropped());
    text += renderMemory();
    renderQuotaMetrics(text, status.quotas, m_time.now());
    reply.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)});
}

std::string relay_process::renderMemory() const
{
    std::string text;
    const auto add = [&text](std::string_view name, std::size_t bytes) {
        fmt::format_to(std::back_inserter(text),
                       "# TYPE waxwing_relay_{0} gauge\nwaxwing_relay_{0} {1}\n", name, bytes);
    };
    add("memory_budget_bytes", m_memory.settings().bytes);
    for (const memory_use use : allMemoryUses) {
        add(fmt::format("memory_held_bytes_{}", toString(use)), m_memory.held(use));
        add(fmt::format("memory_room_bytes_{}", toString(use)), m_memory.room(use));
    }
    return text;
}

void relay_process::reload()
{
    const auto changed = loadSettings<relay_host_settings>(m_settingsFile);
    if (!changed.ok()) {
        m_log.write({log_level::Error,
                     "settings not reloaded",
                     {{"reason", std::string(changed.status().message())}}});
        return;
    }
    const bool needsRestart = changed->listen != m_settings.listen
        || changed->store != m_settings.store || changed->memory != m_settings.memory;
    m_log.write({needsRestart ? log_level::Warning : log_level::Info,
                 "settings reloaded",
                 {{"seeds", std::to_string(changed->seeds.size())},
                  {"needs_restart", needsRestart ? "yes" : "no"}}});
    m_loop->post(seeds_changed{changed->seeds});
}

void relay_process::scheduleExit(time_point by)
{
    m_exitBy = by;
    m_exitTimer.reset(event_new(m_base, -1, EV_PERSIST, &onExitCheck, this));
    event_add(m_exitTimer.get(), &exitDelay);
}

void relay_process::onExitCheck(int /*socket*/, short /*events*/, void *self)
{
    auto *owner = static_cast<relay_process *>(self);
    const bool isUnsent =
        owner->m_callerServer->hasUnsentBytes() || owner->m_peerServer->hasUnsentBytes();
    if (isUnsent && owner->m_time.now() < owner->m_exitBy)
        return;
    if (isUnsent)
        owner->m_log.write({log_level::Warning, "stopping with answers that were not taken", {}});
    event_base_loopbreak(owner->m_base);
}

void relay_process::onFlush(int /*socket*/, short /*events*/, void *self)
{
    static_cast<relay_process *>(self)->m_log.flush();
}

void relay_process::onSettingsCheck(int /*socket*/, short /*events*/, void *self)
{
    auto *owner = static_cast<relay_process *>(self);
    if (owner->m_settingsWatch.hasChanged())
        owner->reload();
}

void relay_process::onHangup(int /*signal*/, short /*events*/, void *self)
{
    auto *owner = static_cast<relay_process *>(self);
    // The change that the signal tells of is not read a second time.
    owner->m_settingsWatch.hasChanged();
    owner->reload();
}

} // namespace waxwing::relay
