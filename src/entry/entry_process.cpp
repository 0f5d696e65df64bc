#include "entry/entry_process.h"

#include "events/event_json.h"

#include <event2/event.h>

#include <cassert>

namespace waxwing {
namespace {
/// Time to send the last responses after the `exit_process` effect.
constexpr timeval exitDelay{0, 100'000};

event_base *createBase()
{
    // Deadlines of a few milliseconds need a finer timer than the coarse monotonic clock.
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    assert(base != nullptr);
    return base;
}

} // namespace

absl::StatusOr<std::unique_ptr<entry_process>> entry_process::create(const host_settings &settings,
                                                                     const std::string &recordFile,
                                                                     const clock &time)
{
    std::unique_ptr<entry_process> result(new entry_process(settings, time));
    if (absl::Status status = result->openFiles(recordFile); !status.ok())
        return status;
    if (absl::Status status = result->openPorts(); !status.ok())
        return status;
    result->connect();
    return result;
}

entry_process::entry_process(const host_settings &settings, const clock &time)
    : m_settings(settings), m_time(time),
      m_incarnation(static_cast<std::uint64_t>(time.wallNow().time_since_epoch().count())),
      m_log(time, {settings.logLevel, settings.host.value}), m_base(createBase())
{
    m_loop = std::make_unique<event_loop>(
        m_base, m_time, entry_state::create(m_settings.state),
        [this](const effect &action) { m_dispatcher->carryOut(action); },
        [this](const event &input) {
            if (m_record)
                m_record->write(formatEvent(input));
        });
}

entry_process::~entry_process()
{
    m_dispatcher.reset();
    m_platformHttp.reset();
    m_backendHttp.reset();
    m_platform.reset();
    m_backends.reset();
    m_gossip.reset();
    // Calls of the peer client use the completion queue of the peer server.
    m_peers.reset();
    m_peerServer.reset();
    m_admin.reset();
    m_callers.reset();
    m_loop.reset();
    event_base_free(m_base);
}

absl::Status entry_process::openFiles(const std::string &recordFile)
{
    if (!recordFile.empty()) {
        auto file = line_file::open(recordFile);
        if (!file.ok())
            return file.status();
        m_record = *std::move(file);
    }
    if (m_settings.spansFile.empty())
        return absl::OkStatus();
    auto file = line_file::open(m_settings.spansFile);
    if (!file.ok())
        return file.status();
    m_spanLines = *std::move(file);
    m_spans = std::make_unique<span_recorder>(
        m_time, std::make_shared<span_tracer>([this](const std::string &line) {
            m_spanLines->write(line);
        }));
    return absl::OkStatus();
}

absl::Status entry_process::openPorts()
{
    const event_sink sink = [this](event_body body) { m_loop->post(std::move(body)); };
    auto callers = caller_front::create(m_base, m_settings.callers, m_numbers, m_metrics, sink);
    if (!callers.ok())
        return callers.status();
    m_callers = *std::move(callers);
    auto admin = admin_front::create(m_base, m_settings.listen.admin, m_metrics,
                                     [this] { return status(); });
    if (!admin.ok())
        return admin.status();
    m_admin = *std::move(admin);
    auto gossip = gossip_socket::create(m_base, m_settings.listen.gossip, m_metrics, sink);
    if (!gossip.ok())
        return gossip.status();
    m_gossip = *std::move(gossip);
    auto peers = peer_server::create(
        m_base, m_settings.listen.peer, m_settings.peers, m_numbers, m_metrics,
        [this] { return m_loop->state().peerState(m_time.now()); }, sink);
    if (!peers.ok())
        return peers.status();
    m_peerServer = *std::move(peers);
    return absl::OkStatus();
}

void entry_process::connect()
{
    const event_sink sink = [this](event_body body) { m_loop->post(std::move(body)); };
    m_peers = std::make_unique<peer_client>(m_peerServer->queue(), m_settings.peers, m_log, sink);
    m_backendHttp = std::make_unique<pooled_http>(m_base, m_settings.backends);
    m_backends = std::make_unique<backend_client>(*m_backendHttp, m_metrics, m_settings.host,
                                                  m_incarnation, sink);
    m_platformHttp = std::make_unique<pooled_http>(m_base, m_settings.platformClient);
    m_platform =
        std::make_unique<platform_client>(*m_platformHttp, m_log, m_settings.platform, sink);
    m_dispatcher = std::make_unique<effect_dispatcher>(
        entry_components{*m_callers, *m_peerServer, *m_backends, *m_peers, *m_platform, *m_gossip,
                         m_log, m_metrics, m_spans.get(), [this] { exitSoon(); }});
}

void entry_process::run(std::uint64_t randomSeed)
{
    m_log.write({log_level::Info,
                 "entry host started",
                 {{"zone", m_settings.state.zone.value},
                  {"callers", m_callers->localEndpoint().toString()},
                  {"admin", m_admin->localEndpoint().toString()},
                  {"peer", m_peerServer->localEndpoint().toString()},
                  {"gossip", m_gossip->localEndpoint().toString()},
                  {"incarnation", std::to_string(m_incarnation)}}});
    m_loop->post(started{self(), m_settings.gossipSeeds, randomSeed, m_settings.peerSeeds});
    event_base_dispatch(m_base);
    for (auto *file : {&m_record, &m_spanLines}) {
        if (*file && !(*file)->flush())
            m_log.write({log_level::Error, "lines of a record file were lost", {}});
    }
    m_log.write({log_level::Info,
                 "entry host stopped",
                 {{"events", std::to_string(m_loop->handledEvents())}}});
}

member entry_process::self() const
{
    return {m_settings.host,
            m_settings.state.zone,
            m_gossip->localEndpoint(),
            m_peerServer->localEndpoint(),
            m_incarnation,
            member_state::Alive,
            0};
}

host_status entry_process::status() const
{
    const entry_state &state = m_loop->state();
    const configuration_copy &current = state.currentConfiguration();
    return {m_settings.host, m_settings.state.zone,
            state.isReady(), current.document ? current.document->revision : 0,
            current.digest,  state.peerState(m_time.now()).members};
}

void entry_process::exitSoon()
{
    event_base_loopexit(m_base, &exitDelay);
}

} // namespace waxwing
