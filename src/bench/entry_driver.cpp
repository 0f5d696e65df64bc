#include "bench/entry_driver.h"

#include "core/hash.h"
#include "entry/entry_settings.h"
#include "membership/gossip_size.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <ctime>
#include <utility>

namespace waxwing {
namespace {

constexpr time_point driverStart{std::chrono::hours(1000)};
constexpr wall_time driverWallStart{std::chrono::hours(24 * 365 * 56)};
constexpr std::uint32_t zoneCount = 6;
constexpr std::uint64_t documentsPerShard = 1000;
constexpr std::uint32_t updatesPerDatagram = 10;
constexpr std::uint16_t peerPort = 7100;
constexpr std::uint16_t gossipPort = 7200;
/// Time of one search in the driver's virtual time.
constexpr std::chrono::milliseconds searchTime{5};

std::chrono::nanoseconds processorTime()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::string zoneName(std::uint32_t number)
{
    return fmt::format("zone-{}", number % zoneCount);
}

member makeMember(std::uint32_t number)
{
    const std::string address = fmt::format("127.1.{}.{}", number / 250, number % 250 + 1);
    return {{fmt::format("host-{:04}", number)},
            {zoneName(number)},
            {address, gossipPort},
            {address, peerPort},
            1,
            member_state::Alive,
            1};
}

configuration_copy makeConfiguration(const entry_driver_size &size)
{
    // Every host holds the service at every size, so that searches are not forwarded.
    constexpr std::uint32_t connectionLimit = 100000;
    constexpr std::uint32_t slots = 1000;
    auto document = std::make_shared<configuration>();
    document->revision = 1;
    document->changeId = "bench";
    document->shutdownAt = driverWallStart + std::chrono::hours(24 * 100);
    for (std::uint32_t i = 0; i < zoneCount; ++i)
        document->zones.push_back({zoneName(i)});
    partitioning shards{1, {}};
    const auto serverName = [](std::uint32_t number) { return fmt::format("leaf-{:05}", number); };
    for (std::uint32_t i = 0; i < size.servers; ++i) {
        document->servers.push_back({{serverName(i)},
                                     {zoneName(i)},
                                     {fmt::format("127.2.{}.{}", i / 250, i % 250 + 1), 8000},
                                     slots,
                                     connectionLimit,
                                     {}});
        shards.shards.push_back({{fmt::format("shard-{:05}", i)},
                                 documentsPerShard,
                                 {{serverName(i)}, {serverName((i + 1) % size.servers)}}});
    }
    document->services.push_back({{"catalogue"}, {shards}, {}});
    configuration_copy copy{document, "bench", stableHash("bench")};
    return copy;
}

} // namespace

double reducer_sample::microsecondsPerEvent() const
{
    return events == 0
        ? 0
        : std::chrono::duration<double, std::micro>(time).count() / static_cast<double>(events);
}

entry_driver::entry_driver(const entry_driver_size &size)
    : m_size(size), m_configuration(makeConfiguration(size)), m_state([] {
          entry_settings settings;
          settings.zone = {zoneName(0)};
          return entry_state::create(settings);
      }()),
      m_now(driverStart)
{
    reducer_sample ignored;
    apply(started{makeMember(0), {}, 1, {}}, ignored);
    joinMembers();
    tickUntil(m_now + std::chrono::seconds(3), ignored);
    assert(m_state.isReady());
}

void entry_driver::joinMembers()
{
    reducer_sample ignored;
    for (std::uint32_t first = 1; first < m_size.members; first += updatesPerDatagram) {
        gossip_message message;
        message.sender = makeMember(first);
        message.probe = ++m_lastProbe;
        for (std::uint32_t i = first + 1; i < std::min(first + updatesPerDatagram, m_size.members);
             ++i)
            message.updates.push_back(makeMember(i));
        message.configurationDigest = m_configuration.digest;
        apply(datagram_received{message.sender.gossip, message}, ignored);
    }
}

reducer_sample entry_driver::runSearches(std::uint32_t count)
{
    reducer_sample measured;
    for (std::uint32_t i = 0; i < count; ++i) {
        tickUntil(m_now + searchTime, measured);
        search_request request;
        request.service = {"catalogue"};
        request.query = fmt::format("query {}", i);
        apply(search_received{{++m_lastRequest}, request, false}, measured);
    }
    return measured;
}

void entry_driver::startSearches(std::uint32_t count)
{
    m_leavesAnswer = false;
    reducer_sample ignored;
    for (std::uint32_t i = 0; i < count; ++i) {
        search_request request;
        request.service = {"catalogue"};
        request.query = fmt::format("waiting {}", i);
        apply(search_received{{++m_lastRequest}, request, false}, ignored);
    }
    m_leavesAnswer = true;
}

reducer_sample entry_driver::runIdle(std::chrono::seconds time)
{
    reducer_sample measured;
    for (std::int64_t second = 0; second < time.count(); ++second) {
        tickUntil(m_now + std::chrono::seconds(1), measured);
        if (m_size.members > 1)
            receiveProbe(1 + static_cast<std::uint32_t>(second) % (m_size.members - 1), measured);
    }
    return measured;
}

void entry_driver::receiveProbe(std::uint32_t number, reducer_sample &measured)
{
    gossip_message probe;
    probe.sender = makeMember(number);
    probe.configurationDigest = m_configuration.digest;
    probe.probe = ++m_lastProbe;
    apply(datagram_received{probe.sender.gossip, probe}, measured);
}

void entry_driver::apply(event_body body, reducer_sample &measured)
{
    const auto wall = driverWallStart
        + std::chrono::duration_cast<std::chrono::milliseconds>(m_now - driverStart);
    const event input{m_now, wall, std::move(body)};
    const auto begin = processorTime();
    auto result = entry_reducer::reduce(std::move(m_state), input);
    measured.time += processorTime() - begin;
    ++measured.events;
    m_state = std::move(result.state);
    for (auto &action : result.effects)
        m_pending.push_back(std::move(action));
    answerPending(measured);
}

void entry_driver::answerPending(reducer_sample &measured)
{
    // `apply` is called again for each answer; the list is taken over first.
    for (const auto &action : std::exchange(m_pending, {}))
        answer(action, measured);
}

void entry_driver::answer(const effect &action, reducer_sample &measured)
{
    if (const auto *search = std::get_if<send_leaf_search>(&action)) {
        if (!m_leavesAnswer)
            return;
        leaf_answer reply{search->search.service, search->search.shard, search->search.at,
                          documentsPerShard,      documentsPerShard,    {},
                          {search->search.at}};
        for (int i = 0; i < 10; ++i)
            reply.hits.push_back(
                {fmt::format("{}-{}", search->search.shard.value, i), 1.0 / (i + 1)});
        apply(leaf_search_finished{search->attempt, reply}, measured);
    } else if (const auto *poll = std::get_if<poll_health>(&action)) {
        leaf_health health;
        for (const auto &part :
             m_configuration.document->services.front().partitionings.front().shards) {
            for (const auto &replica : part.replicas) {
                if (replica == poll->server)
                    health.shards.push_back({{"catalogue"}, part.id, {{1, 1}}});
            }
        }
        apply(leaf_health_reported{poll->server, health}, measured);
    } else if (const auto *call = std::get_if<call_platform>(&action)) {
        // A watch of a quiet platform stays open; only the first read is answered.
        if (call->call.method == platform_call::method_kind::Get
            || (call->call.method == platform_call::method_kind::Watch && call->call.version == 0))
            apply(platform_finished{call->attempt,
                                    {platform_result::status_kind::Done, 1, "bench", ""},
                                    m_configuration},
                  measured);
    } else if (const auto *fetch = std::get_if<fetch_peer_state>(&action)) {
        apply(
            peer_state_fetched{
                fetch->attempt, true, {{}, {}, m_configuration.text}, m_configuration},
            measured);
    } else if (const auto *datagram = std::get_if<send_datagram>(&action)) {
        ++measured.datagrams;
        measured.datagramBytes += gossipBytes(datagram->message);
        if (datagram->message.kind != gossip_message::message_kind::Probe)
            return;
        gossip_message reply;
        reply.kind = gossip_message::message_kind::Acknowledge;
        reply.probe = datagram->message.probe;
        reply.configurationDigest = m_configuration.digest;
        for (std::uint32_t i = 1; i < m_size.members; ++i) {
            if (makeMember(i).gossip == datagram->to)
                reply.sender = makeMember(i);
        }
        apply(datagram_received{datagram->to, reply}, measured);
    }
}

void entry_driver::tickUntil(time_point end, reducer_sample &measured)
{
    while (true) {
        const auto due = m_state.nextDeadline();
        if (!due || *due > end)
            break;
        m_now = std::max(m_now, *due);
        apply(tick{}, measured);
    }
    m_now = end;
}

} // namespace waxwing
