#include "relay/observation_exchange.h"
#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;
using verdict_kind = server_observations::verdict_kind;

/// Tests what a host sends about servers and what it does with datagrams of others.
class observation_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(observation_exchange_test);
    CPPUNIT_TEST(slowAnswerIsSentToTheOwnZoneOnly);
    CPPUNIT_TEST(nothingIsSentWithoutSlowServers);
    CPPUNIT_TEST(samplesThatTellNothingNewAreNotSent);
    CPPUNIT_TEST(unansweredRequestConfirmsOthersOnly);
    CPPUNIT_TEST(implausibleObservationsAreIgnored);
    CPPUNIT_TEST(observationsOfARestartedOrRemovedServerAreIgnored);
    CPPUNIT_TEST(normalAnswerOfAnotherHostEndsTheOwnEstimate);
    CPPUNIT_TEST(lostContactIsNotReported);
    CPPUNIT_TEST(suspendedHostIgnoresAndReportsNothing);
    CPPUNIT_TEST(logLinesAreBounded);
    CPPUNIT_TEST(observationsChangeNoLimit);
    CPPUNIT_TEST(wholeHostsShareOnlyIfSettingsSaySo);
    CPPUNIT_TEST_SUITE_END();

public:
    observation_exchange_test()
        : m_pool(poolSettings(), zone_latencies({"here"}, {{{"here"}, "r"}})),
          m_exchange({}, {"h0"})
    {
        for (int i = 0; i < 5; ++i) {
            member host;
            host.host = {"h" + std::to_string(i)};
            host.zone = {i < 3 ? "here" : "there"};
            host.gossip = {"10.0.0.1", static_cast<std::uint16_t>(7000 + i)};
            host.incarnation = 1;
            m_hosts.emplace(host.host, host);
        }
        m_hosts.at({"h2"}).state = member_state::Dead;
        for (int i = 0; i < 60; ++i)
            m_pool.put(entryOf(i), m_now);
        m_exchange.onEvent(m_now);
    }

    /// Guards against traffic between zones, which costs money, and against datagrams to hosts that
    /// are gone.
    void slowAnswerIsSentToTheOwnZoneOnly()
    {
        answer(0, 9);
        m_exchange.send(self(), m_hosts, m_now, m_effects);
        const auto sent = takeSent();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT(sent.front().to == m_hosts.at({"h1"}).gossip);
        const server_observation expected{observationKey(entryOf(0)), 900, 90ms};
        CPPUNIT_ASSERT(sent.front().message.observations == std::vector{expected});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted("relay_observations_sent_total"));
        CPPUNIT_ASSERT(!m_exchange.nextDeadline().has_value());
    }

    /// Guards against datagrams and timers of a fleet without slow servers.
    void nothingIsSentWithoutSlowServers()
    {
        for (int i = 0; i < 200; ++i)
            answer(i % 60, 0.5 + i % 5 * 0.5);
        m_exchange.scheduleCheck(false, m_now);
        CPPUNIT_ASSERT(!m_exchange.nextDeadline().has_value());
        m_exchange.send(self(), m_hosts, m_now, m_effects);
        CPPUNIT_ASSERT(m_effects.empty());
    }

    /// Guards against a datagram of each host for each slow answer, and against hosts that do not
    /// learn that a server answers normally again.
    void samplesThatTellNothingNewAreNotSent()
    {
        receive("h1", 1, {observed(0, 900, 100ms)});
        // Its request was sent before that of the other host had been answered.
        answerSent(0, 9, m_now - 50ms);
        CPPUNIT_ASSERT(!isDue());
        m_now += 200ms;
        answer(0, 9);
        CPPUNIT_ASSERT(isDue());
        CPPUNIT_ASSERT(verdict(0) == verdict_kind::Slow);
        (void)takeSent();
        m_now += 200ms;
        answer(0, 9);
        CPPUNIT_ASSERT(!isDue());
        m_now += 500ms;
        answer(0, 9);
        CPPUNIT_ASSERT(isDue());
        (void)takeSent();
        m_now += 200ms;
        answer(0, 1);
        CPPUNIT_ASSERT(isDue());
        CPPUNIT_ASSERT(verdict(0) == verdict_kind::Normal);
        (void)takeSent();
        m_now += 200ms;
        answer(0, 1);
        CPPUNIT_ASSERT(!isDue());
    }

    /// Guards against a pause of a server that is taken for slowness, as long as it is not longer
    /// than pauses usually are.
    void unansweredRequestConfirmsOthersOnly()
    {
        leaf &server = serverAt(0);
        const auto unanswered = [&](duration time) {
            m_exchange.onUnanswered(server, 10ms, time, m_now - time, m_now, m_effects);
            return isDue();
        };
        CPPUNIT_ASSERT(!unanswered(200ms));
        receive("h1", 1, {observed(0, 900, 100ms)});
        m_now += 39ms;
        CPPUNIT_ASSERT(!unanswered(38ms));
        m_now += 10ms;
        CPPUNIT_ASSERT(unanswered(45ms));
        CPPUNIT_ASSERT(verdict(0) == verdict_kind::Slow);
        (void)takeSent();
        m_now += 1s;
        m_exchange.onUnanswered(serverAt(1), 10ms, 460ms, m_now - 460ms, m_now, m_effects);
        CPPUNIT_ASSERT(isDue());
        CPPUNIT_ASSERT(verdict(1) == verdict_kind::Suspected);
    }

    /// Guards against values that no host sends, and against datagrams of other zones.
    void implausibleObservationsAreIgnored()
    {
        server_observation unknown = observed(0, 900, 0ms);
        ++unknown.server;
        receive("h1", 1,
                {observed(0, 0, 0ms), observed(0, 10001, 0ms), observed(0, 900, 10001ms), unknown});
        receive("h3", 1, {observed(0, 900, 0ms)});
        receive("h0", 1, {observed(0, 900, 0ms)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, counted("relay_observations_ignored_total"));
        CPPUNIT_ASSERT(serverAt(0).observations().isEmpty());
        receive("h1", 2, {observed(0, 900, 0ms)});
        receive("h1", 2, {observed(0, 900, 0ms)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted("relay_observations_received_total"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, counted("relay_observations_ignored_total"));
    }

    /// Guards against observations that count for a later start of the server, and against state
    /// that remains when the server is removed.
    void observationsOfARestartedOrRemovedServerAreIgnored()
    {
        makeSlow(0);
        registered_server restarted = entryOf(0);
        restarted.startedAt = 2;
        m_pool.put(restarted, m_now);
        CPPUNIT_ASSERT(verdict(0) == verdict_kind::Normal);
        m_effects.clear();
        receive("h1", 9, {observed(0, 900, 0ms)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted("relay_observations_ignored_total"));
        CPPUNIT_ASSERT(m_pool.findObserved(observationKey(restarted)) != nullptr);
        // An answer of the process before.
        answerSent(0, 9, m_now - 10ms);
        CPPUNIT_ASSERT(serverAt(0).observations().isEmpty());
        m_pool.markUnlisted(restarted.id, m_now);
        m_now += 3s;
        m_pool.removeUnlisted(m_now);
        CPPUNIT_ASSERT(m_pool.findObserved(observationKey(restarted)) == nullptr);
    }

    /// Guards against hosts that keep avoiding a server by their own estimate for up to 16 s after
    /// another host found it fast.
    void normalAnswerOfAnotherHostEndsTheOwnEstimate()
    {
        leaf &server = serverAt(0);
        for (int i = 0; i < 3; ++i) {
            m_now += 200ms;
            answer(0, 9);
        }
        CPPUNIT_ASSERT(server.slowness(m_now) > 7);
        receive("h1", 1, {observed(0, 100, 300ms)});
        CPPUNIT_ASSERT(server.slowness(m_now) > 7);
        m_now += 200ms;
        receive("h1", 2, {observed(0, 100, 30ms)});
        CPPUNIT_ASSERT(server.slowness(m_now) < 1.4);
        // A slow answer to an earlier request.
        answerSent(0, 9, m_now - 100ms);
        CPPUNIT_ASSERT(server.slowness(m_now) < 1.4);
        m_now += 200ms;
        answer(0, 9);
        CPPUNIT_ASSERT(server.slowness(m_now) > 2);
    }

    /// Guards against a host whose own paths were cut and that calls all servers slow.
    void lostContactIsNotReported()
    {
        const time_point sent = m_now;
        m_now += 2s;
        m_exchange.onEvent(m_now - 1s);
        m_exchange.onContactRegained(m_now);
        for (int i = 0; i < 60; ++i)
            answerSent(i, 60, sent);
        CPPUNIT_ASSERT(!isDue());
        CPPUNIT_ASSERT(serverAt(0).observations().isEmpty());
    }

    /// Guards against a host that was suspended: what it measured meanwhile says nothing about
    /// servers, and datagrams that waited in its socket state too low an age. Observations that it
    /// already had grow old while it is suspended, since its clock counts that time.
    void suspendedHostIgnoresAndReportsNothing()
    {
        makeSlow(0);
        (void)takeSent();
        m_effects.clear();
        const time_point sent = m_now;
        m_now += 11s;
        m_exchange.onEvent(m_now);
        CPPUNIT_ASSERT(verdict(0) == verdict_kind::Normal);
        CPPUNIT_ASSERT_EQUAL(1.0, serverAt(0).sharedSlowness(m_now));
        receive("h1", 7, {observed(1, 900, 50ms)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted("relay_observations_ignored_total"));
        answerSent(2, 60, sent);
        CPPUNIT_ASSERT(!isDue());
        m_now += 150ms;
        m_exchange.onEvent(m_now);
        receive("h1", 8, {observed(1, 900, 50ms)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted("relay_observations_received_total"));
        m_now += 200ms;
        answer(2, 9);
        CPPUNIT_ASSERT(isDue());
    }

    /// Guards against hundreds of log lines when many servers become slow at once.
    void logLinesAreBounded()
    {
        for (int i = 0; i < 60; ++i)
            makeSlow(i);
        std::size_t lines = 0;
        for (const relay_effect &each : m_effects)
            lines += std::holds_alternative<write_log>(each) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, lines);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, counted("relay_servers_slow_total"));
    }

    /// Guards against servers that become unusable, or lose their limit, because of what others
    /// say. Only the order changes, so a server without an alternative is still chosen.
    void observationsChangeNoLimit()
    {
        const std::size_t limit = serverAt(0).limit();
        for (int i = 0; i < 60; i += 3)
            makeSlow(i);
        CPPUNIT_ASSERT(serverAt(0).isUsable(m_now));
        CPPUNIT_ASSERT_EQUAL(limit, serverAt(0).limit());
        random_engine random(1);
        const auto choose = [&](const leaf_pool::leaf_list &tried) {
            return m_pool.choose({"s0"}, placement::anywhere(), tried, 10ms, random, m_now);
        };
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(choose({}).server->entry().id != entryOf(0).id);
        const leaf_choice last = choose({m_pool.findObserved(observationKey(entryOf(1))),
                                         m_pool.findObserved(observationKey(entryOf(2)))});
        CPPUNIT_ASSERT(last.server->entry().id == entryOf(0).id);
        CPPUNIT_ASSERT(last.healthy);
        // A slow answer that others reported must not delay the hedge either.
        CPPUNIT_ASSERT(last.expected <= 15ms);
    }

    /// Guards against hosts that send observations unasked, and against whole hosts that do not use
    /// them: with one slow server, fewer requests reach it.
    void wholeHostsShareOnlyIfSettingsSaySo()
    {
        const auto run = [](bool shares) {
            simulation_layout layout;
            layout.hosts = 36;
            layout.shards = 4;
            layout.settings.leaves.sharesObservations = shares;
            // Coordinators get enough answers to notice a slow server themselves.
            layout.settings.coordinators.isEnabled = false;
            relay_simulation simulation(layout);
            simulation.at(5s, [&] { simulation.leafOf("shard-1", 0).slowness = 9; });
            simulation.load("/all/", 3s, 11s, 20ms);
            simulation.runUntil(13s);
            std::uint64_t sent = simulation.counters["relay_observations_sent_total"];
            CPPUNIT_ASSERT_EQUAL(shares, sent > 0);
            CPPUNIT_ASSERT_EQUAL(shares, simulation.counters["relay_servers_slow_total"] > 0);
            const time_point start = simulation.requests.front().sent - 3s;
            const std::size_t hits =
                arrivalsBetween(simulation.leafOf("shard-1", 0), start + 6s, start + 11s);
            fmt::print("\n  shares {}: {} requests to the slow server from 1 s on, {} observations",
                       shares, hits, sent);
            return hits;
        };
        const std::size_t before = run(false);
        CPPUNIT_ASSERT(run(true) < before);
    }

private:
    static leaf_pool_settings poolSettings()
    {
        leaf_pool_settings settings;
        settings.sharesObservations = true;
        return settings;
    }
    /// Three servers for each service.
    static registered_server entryOf(int number)
    {
        registered_server entry;
        entry.id = {"server-" + std::to_string(number)};
        entry.service = {"s" + std::to_string(number / 3)};
        entry.zone = {"here"};
        entry.slots = 4;
        entry.startedAt = 1;
        return entry;
    }
    leaf &serverAt(int number)
    {
        const registered_server entry = entryOf(number);
        for (const std::int64_t start : {1, 2}) {
            registered_server each = entry;
            each.startedAt = start;
            if (const auto found = m_pool.findObserved(observationKey(each)))
                return *found;
        }
        CPPUNIT_FAIL("unknown server");
        return *m_pool.findObserved(0);
    }
    static server_observation observed(int server, std::uint32_t percent,
                                       std::chrono::milliseconds age)
    {
        return {observationKey(entryOf(server)), percent, age};
    }
    const member &self() const { return m_hosts.at({"h0"}); }

    /// Records an answer after `slowness` times 10 ms.
    void answer(int server, double slowness)
    {
        answerSent(server, slowness, m_now - std::chrono::duration_cast<duration>(10ms * slowness));
    }
    void answerSent(int server, double slowness, time_point sent)
    {
        leaf &target = serverAt(server);
        const attempt_id id{++m_lastAttempt};
        target.onSent(id, 10ms, sent);
        target.onAnswer(id, slowness, false, m_now);
        m_exchange.onAnswer(target, slowness, sent, m_now, m_effects);
    }
    void receive(const std::string &host, std::uint64_t number,
                 std::vector<server_observation> observations)
    {
        gossip_message message;
        message.kind = gossip_message::message_kind::ServerObservations;
        message.sender = m_hosts.at({host});
        message.probe = number;
        message.observations = std::move(observations);
        m_exchange.onDatagram(message, self(), m_pool, m_now, m_effects);
    }
    /// Reports the server as slow from two other hosts.
    void makeSlow(int server)
    {
        m_hosts.at({"h2"}).state = member_state::Alive;
        receive("h1", ++m_number, {observed(server, 900, 100ms)});
        m_now += 10ms;
        receive("h2", ++m_number, {observed(server, 900, 5ms)});
        CPPUNIT_ASSERT(verdict(server) == verdict_kind::Slow);
    }
    verdict_kind verdict(int server) { return serverAt(server).observations().verdict({}, m_now); }
    bool isDue() const
    {
        const auto next = m_exchange.nextDeadline();
        return next.has_value() && *next <= m_now;
    }
    std::vector<send_datagram> takeSent()
    {
        m_exchange.send(self(), m_hosts, m_now, m_effects);
        std::vector<send_datagram> result;
        for (const relay_effect &each : m_effects) {
            if (const auto *sent = std::get_if<send_datagram>(&each))
                result.push_back(*sent);
        }
        std::erase_if(m_effects, [](const relay_effect &each) {
            return std::holds_alternative<send_datagram>(each);
        });
        return result;
    }
    std::uint64_t counted(const std::string &name) const
    {
        std::uint64_t sum = 0;
        for (const relay_effect &each : m_effects) {
            if (const auto *counter = std::get_if<count_metric>(&each);
                counter && counter->name == name)
                sum += counter->amount;
        }
        return sum;
    }

    time_point m_now = time_point{} + 1h;
    leaf_pool m_pool;
    observation_exchange m_exchange;
    std::map<host_id, member> m_hosts;
    relay_effect_list m_effects;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_number = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(observation_exchange_test);

} // namespace
} // namespace waxwing::relay
