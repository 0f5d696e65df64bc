#include "scenario/scenario_world.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwing {
namespace {

/// Virtual time starts well after the epoch, so that differences to it never underflow.
constexpr time_point worldStart{std::chrono::hours(1000)};
constexpr wall_time worldWallStart{std::chrono::hours(24 * 365 * 56)};
constexpr std::uint16_t firstServerPort = 20000;
constexpr std::uint16_t firstHostPort = 10000;

bool matches(const std::string &pattern, const std::string &name)
{
    if (!pattern.empty() && pattern.back() == '*')
        return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
    return pattern == name;
}

bool matchesAny(const std::vector<std::string> &patterns, const std::string &name)
{
    return std::ranges::any_of(
        patterns, [&name](const std::string &pattern) { return matches(pattern, name); });
}

std::string numbered(std::string text, std::uint64_t number)
{
    if (const auto place = text.find("%n"); place != std::string::npos)
        text.replace(place, 2, std::to_string(number));
    return text;
}

} // namespace

scenario_world::scenario_world(const scenario &script,
                               const std::function<void(entry_settings &)> &tune)
    : m_script(script), m_tune(tune), m_random(script.seed), m_now(worldStart),
      m_begin(worldStart + script.settle)
{
    createServices(script.cluster);
    m_platform.put("configuration", "current", m_configuration.text);
    createHosts(script.cluster);
    for (const auto &step : script.steps)
        scheduleStep(step);
}

scenario_metrics scenario_world::run()
{
    duration last{0};
    for (const auto &step : m_script.steps)
        last = std::max({last, step.at, step.until});
    const time_point end = m_begin + last + m_script.drain;
    while (true) {
        const auto queued = m_queue.nextTime();
        const auto due = nextHostDeadline();
        if (!queued && !due)
            break;
        m_now = std::max(
            m_now, std::min(queued.value_or(time_point::max()), due.value_or(time_point::max())));
        if (m_now > end)
            break;
        if (queued && *queued <= m_now)
            m_queue.runNext();
        else
            tickDueHosts();
    }
    std::map<std::string, std::uint32_t> runs;
    for (const auto &[name, server] : m_servers) {
        for (const auto &[payload, count] : server.commandRuns())
            runs[payload] += count;
    }
    for (const auto &[payload, count] : runs)
        m_metrics.doubledCommands += count > 1 ? 1 : 0;
    return m_metrics;
}

void scenario_world::createServices(const scenario_cluster &cluster)
{
    auto document = std::make_shared<configuration>();
    document->revision = 1;
    document->changeId = "scenario";
    document->shutdownAt = worldWallStart + std::chrono::hours(24 * 100);
    for (const auto &zone : cluster.zones)
        document->zones.push_back({zone});

    std::uint16_t port = firstServerPort;
    for (const auto &wanted : cluster.services) {
        partitioning shards{1, {}};
        std::vector<fake_server_settings> servers(wanted.servers);
        for (std::uint32_t i = 0; i < wanted.servers; ++i) {
            const server_id id{fmt::format("{}-{}", wanted.id, i)};
            document->servers.push_back({id,
                                         {cluster.zones[i % cluster.zones.size()]},
                                         {"127.0.0.1", port++},
                                         wanted.slots,
                                         wanted.connectionLimit,
                                         {}});
            servers[i] = {id, {wanted.id}, {}, wanted.slots, 64, cluster.serviceTime};
        }
        for (std::uint32_t i = 0; i < wanted.shards; ++i) {
            shard part{{fmt::format("s{:03}", i)}, wanted.documents, {}};
            for (std::uint32_t copy = 0; copy < wanted.replicas; ++copy) {
                auto &server = servers[(i + copy) % wanted.servers];
                part.replicas.push_back(server.id);
                server.documents[part.id] = wanted.documents;
            }
            shards.shards.push_back(part);
        }
        for (const auto &server : servers)
            m_servers.try_emplace(server.id.value, server, m_queue, m_random, m_metrics);
        document->services.push_back({{wanted.id}, {shards}, wanted.policy});
    }
    std::ranges::sort(document->servers, {}, &backend_server::id);
    std::ranges::sort(document->services, {}, &service::id);
    m_configuration.document = document;
    m_configuration.text = "scenario revision 1";
    m_configuration.digest = stableHash(m_configuration.text);
}

void scenario_world::createHosts(const scenario_cluster &cluster)
{
    std::uint16_t port = firstHostPort;
    for (const auto &zone : cluster.zones) {
        for (std::uint32_t number = 1; number <= cluster.hostsPerZone; ++number) {
            host created;
            created.self.host = {fmt::format("{}{}", zone, number)};
            created.self.zone = {zone};
            created.self.gossip = {"127.0.0.1", port++};
            created.self.peer = {"127.0.0.1", port++};
            m_hosts.emplace(created.self.host.value, std::move(created));
        }
    }
    for (auto &[name, created] : m_hosts)
        m_queue.schedule(worldStart, [this, name = name] { startHost(m_hosts.at(name)); });
}

void scenario_world::scheduleStep(const scenario_step &step)
{
    duration at = step.at;
    std::uint64_t repetition = 0;
    do {
        m_queue.schedule(m_begin + at, [this, step, repetition] { perform(step, repetition); });
        ++repetition;
        at += step.every;
    } while (step.every > duration::zero() && at <= step.until);
}

void scenario_world::perform(const scenario_step &step, std::uint64_t repetition)
{
    switch (step.kind) {
    case step_kind::Search:
        sendSearch(step, repetition);
        break;
    case step_kind::Command:
        sendCommand(step, repetition);
        break;
    case step_kind::Leave:
        tellLeaving(step);
        break;
    case step_kind::Isolate:
        m_isolatedZones.insert(step.targets.begin(), step.targets.end());
        break;
    case step_kind::Heal:
        m_isolatedZones.clear();
        break;
    case step_kind::PlatformDown:
    case step_kind::PlatformUp:
    case step_kind::LoseAnswers:
        performOnPlatform(step);
        break;
    case step_kind::Kill:
    case step_kind::Start:
    case step_kind::Stop:
        performOnHosts(step);
        break;
    default:
        performOnServers(step);
    }
}

void scenario_world::performOnServers(const scenario_step &step)
{
    for (auto &[name, server] : m_servers) {
        if (!matchesAny(step.targets, name))
            continue;
        if (step.kind == step_kind::Slow)
            server.setSlow(step.factor, step.share);
        else if (step.kind == step_kind::Crash)
            server.crash();
        else if (step.kind == step_kind::Shed)
            server.setShedding(true);
        else if (step.kind == step_kind::Drain)
            server.setDraining(true);
        else if (step.kind == step_kind::Publish)
            server.publish(step.version);
        else
            server.repair();
    }
}

void scenario_world::performOnHosts(const scenario_step &step)
{
    for (auto &[name, target] : m_hosts) {
        if (!matchesAny(step.targets, name))
            continue;
        if (step.kind == step_kind::Kill)
            killHost(target);
        else if (step.kind == step_kind::Start)
            startHost(target);
        else
            deliver(name, stop_requested{});
    }
}

void scenario_world::performOnPlatform(const scenario_step &step)
{
    if (step.kind == step_kind::LoseAnswers)
        m_platform.loseAnswers(step.count);
    else
        m_platform.setDown(step.kind == step_kind::PlatformDown);
}

void scenario_world::sendSearch(const scenario_step &step, std::uint64_t repetition)
{
    const std::uint64_t number = ++m_lastRequest;
    pending_search search;
    search.request.service = {step.service};
    search.request.query = numbered(step.query, repetition);
    search.request.caller = "caller";
    search.sent = m_now;
    search.askedHost = step.targets[repetition % step.targets.size()];
    ++m_metrics.searches;
    const search_received received{{number}, search.request, false};
    const std::string hostName = search.askedHost;
    m_searches.emplace(number, std::move(search));
    deliver(hostName, received);
}

void scenario_world::sendCommand(const scenario_step &step, std::uint64_t repetition)
{
    const std::uint64_t number = ++m_lastRequest;
    pending_command command;
    command.request.service = {step.service};
    command.request.key = numbered(step.key, repetition);
    command.request.document = "document";
    command.request.operation = "enrol";
    command.request.payload = '"' + command.request.key + '"';
    command.askedHost = step.targets[repetition % step.targets.size()];
    ++m_metrics.commands;
    const command_received received{{number}, command.request, false};
    const std::string hostName = command.askedHost;
    m_commands.emplace(number, std::move(command));
    deliver(hostName, received);
}

void scenario_world::startHost(host &target)
{
    if (target.state)
        return;
    entry_settings settings;
    settings.zone = target.self.zone;
    if (m_tune)
        m_tune(settings);
    target.state.emplace(entry_state::create(settings));
    target.self.incarnation = ++target.starts;
    started event;
    event.self = target.self;
    event.randomSeed = stableHash(target.self.host.value, m_script.seed) + target.starts;
    for (const auto &[name, other] : m_hosts) {
        if (name == target.self.host.value)
            continue;
        event.seeds.push_back(other.self.gossip);
        event.seedPeers.push_back(other.self.peer);
    }
    deliver(target.self.host.value, event);
}

void scenario_world::killHost(host &target)
{
    target.state.reset();
    const auto wasAsked = [&target](const auto &entry) {
        return entry.second.askedHost == target.self.host.value;
    };
    std::erase_if(m_searches, wasAsked);
    std::erase_if(m_commands, wasAsked);
}

void scenario_world::tellLeaving(const scenario_step &step)
{
    for (const auto &server : step.targets)
        m_leavingSince.try_emplace(server);
}

void scenario_world::deliver(const std::string &hostName, event_body body)
{
    host &target = m_hosts.at(hostName);
    if (!target.state)
        return;
    const auto wall =
        worldWallStart + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - worldStart);
    auto [state, effects] =
        entry_reducer::reduce(std::move(*target.state), {m_now, wall, std::move(body)});
    target.state.emplace(std::move(state));
    for (const auto &action : effects)
        carryOut(target, action);
}

void scenario_world::later(duration delay, std::function<void()> action)
{
    m_queue.schedule(m_now + delay, std::move(action));
}

void scenario_world::tickDueHosts()
{
    for (auto &[name, target] : m_hosts) {
        if (!target.state)
            continue;
        const auto due = target.state->nextDeadline();
        if (due && *due <= m_now)
            deliver(name, tick{});
    }
}

std::optional<time_point> scenario_world::nextHostDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto &[name, target] : m_hosts) {
        const auto due = target.state ? target.state->nextDeadline() : std::nullopt;
        if (due && (!earliest || *due < *earliest))
            earliest = due;
    }
    return earliest;
}

bool scenario_world::isConnected(const std::string &fromZone, const std::string &toZone) const
{
    return fromZone == toZone
        || (m_isolatedZones.count(fromZone) == 0 && m_isolatedZones.count(toZone) == 0);
}

duration scenario_world::latency(const std::string &fromZone, const std::string &toZone) const
{
    return fromZone == toZone ? m_script.cluster.zoneLatency : m_script.cluster.crossZoneLatency;
}

scenario_world::host *scenario_world::findHostByPeer(const endpoint &address)
{
    for (auto &[name, candidate] : m_hosts) {
        if (candidate.self.peer == address)
            return &candidate;
    }
    return nullptr;
}

scenario_world::host *scenario_world::findHostByGossip(const endpoint &address)
{
    for (auto &[name, candidate] : m_hosts) {
        if (candidate.self.gossip == address)
            return &candidate;
    }
    return nullptr;
}

std::string scenario_world::zoneOf(const server_id &server) const
{
    return m_configuration.document->findServer(server)->zone.value;
}

std::uint64_t scenario_world::requestNumber(const host &source, attempt_id attempt) const
{
    return stableHash(
        fmt::format("{}/{}/{}", source.self.host.value, source.starts, attempt.value));
}

configuration_copy scenario_world::parsedCopy(const std::string &text) const
{
    return text == m_configuration.text ? m_configuration : configuration_copy{};
}

std::vector<std::string> checkExpectations(const scenario &script, const scenario_metrics &metrics)
{
    std::vector<std::string> problems;
    const auto values = metrics.values();
    for (const auto &expected : script.expectations) {
        const auto found = values.find(expected.metric);
        if (found == values.end()) {
            problems.push_back("unknown metric " + expected.metric);
            continue;
        }
        if (expected.min && found->second < *expected.min)
            problems.push_back(fmt::format("{} is {}, expected at least {}", expected.metric,
                                           found->second, *expected.min));
        if (expected.max && found->second > *expected.max)
            problems.push_back(fmt::format("{} is {}, expected at most {}", expected.metric,
                                           found->second, *expected.max));
    }
    return problems;
}

} // namespace waxwing
