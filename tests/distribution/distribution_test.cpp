#include "distribution/distribution.h"
#include "distribution/host_list.h"
#include "distribution/watcher_selection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

namespace waxwing {
namespace {

configuration_copy makeCopy(std::uint64_t revision, std::uint64_t digest)
{
    auto document = std::make_shared<configuration>();
    document->revision = revision;
    return {document, fmt::format("{}-{}", revision, digest), digest};
}

} // namespace

class distribution_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(distribution_test);
    CPPUNIT_TEST(keepsHighestRevision);
    CPPUNIT_TEST(reportsRestoredPlatformOnce);
    CPPUNIT_TEST(reportsConflictingDigestOnce);
    CPPUNIT_TEST(fetchesOncePerPeerAndBacksOff);
    CPPUNIT_TEST(selectsTwoWatchersPerZone);
    CPPUNIT_TEST(skipsInvalidHostListEntries);
    CPPUNIT_TEST_SUITE_END();

    distribution m_tested{distribution_settings{}};
    membership m_members{membership_settings{}};
    random_engine m_random{1};
    std::uint64_t m_lastAttempt = 0;
    time_point m_now{std::chrono::hours(1)};
    effect_list m_effects;
    reduce_context m_context{m_now, wall_time(), m_random, m_lastAttempt, m_effects};

    template<typename Effect>
    std::vector<Effect> taken()
    {
        std::vector<Effect> result;
        for (const effect &each : m_effects) {
            if (const auto *found = std::get_if<Effect>(&each))
                result.push_back(*found);
        }
        return result;
    }

    int errors()
    {
        const auto lines = taken<write_log>();
        return static_cast<int>(std::count_if(lines.begin(), lines.end(), [](const auto &line) {
            return line.entry.level == log_level::Error;
        }));
    }

    void advance(std::chrono::milliseconds time)
    {
        m_now += time;
        m_context.now = m_now;
        m_tested.onTick(m_context, m_members);
    }

    /// Completes the last configuration call and starts the calls that become due.
    void answerPlatform(const configuration_copy &copy, std::uint64_t version)
    {
        std::optional<attempt_id> pending;
        for (const auto &each : taken<call_platform>()) {
            if (each.call.kind == "configuration")
                pending = each.attempt;
        }
        platform_finished finished{*pending, {}, copy};
        finished.result.status = platform_result::status_kind::Done;
        finished.result.version = version;
        CPPUNIT_ASSERT(m_tested.onPlatform(m_context, finished));
    }

public:
    void setUp() override
    {
        member self;
        self.host = host_id{"h1"};
        self.zone = zone_id{"z1"};
        m_members.start(m_context, self, {});
        m_tested.start(m_context, {});
        m_tested.onTick(m_context, m_members);
    }

    /// Guards against a configuration that reverts after a stale read.
    void keepsHighestRevision()
    {
        answerPlatform(makeCopy(7, 70), 7);
        answerPlatform(makeCopy(6, 60), 6);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_tested.current().document->revision);
        advance(std::chrono::seconds(1));
        answerPlatform(makeCopy(7, 70), 7);
        CPPUNIT_ASSERT_EQUAL(0, errors());
    }

    /// Guards against a restored platform that is not reported, or is reported with each poll.
    void reportsRestoredPlatformOnce()
    {
        answerPlatform(makeCopy(7, 70), 7);
        for (int i = 0; i < 10; ++i) {
            answerPlatform(makeCopy(5, 50), 5);
            advance(std::chrono::seconds(4));
            CPPUNIT_ASSERT_EQUAL(i < 2 ? 0 : 1, errors());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_tested.current().document->revision);
    }

    /// Guards against two documents with the same revision that are in force on different hosts
    /// without a report.
    void reportsConflictingDigestOnce()
    {
        answerPlatform(makeCopy(7, 70), 7);
        member peer;
        peer.configurationRevision = 7;
        for (int i = 0; i < 10; ++i)
            m_tested.onAnnouncement(m_context, peer, 71);
        CPPUNIT_ASSERT_EQUAL(1, errors());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, m_tested.current().digest);
    }

    /// Guards against concurrent fetches from one peer and retries without a delay.
    void fetchesOncePerPeerAndBacksOff()
    {
        answerPlatform(makeCopy(7, 70), 7);
        member peer;
        peer.peer = endpoint{"127.0.0.2", 1};
        peer.configurationRevision = 8;
        for (int i = 0; i < 10; ++i)
            m_tested.onAnnouncement(m_context, peer, 80);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken<fetch_peer_state>().size());
        peer_state_fetched failed;
        failed.attempt = taken<fetch_peer_state>().back().attempt;
        CPPUNIT_ASSERT(m_tested.onPeerState(m_context, failed));
        CPPUNIT_ASSERT(!m_tested.onPeerState(m_context, failed));
        m_tested.onAnnouncement(m_context, peer, 80);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken<fetch_peer_state>().size());
        advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, taken<fetch_peer_state>().size());

        peer_state_fetched fetched{
            taken<fetch_peer_state>().back().attempt, true, {}, makeCopy(8, 80)};
        CPPUNIT_ASSERT(m_tested.onPeerState(m_context, fetched));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, m_tested.current().document->revision);
    }

    /// Guards against platform load that grows with the number of hosts, and zones without a
    /// watcher.
    void selectsTwoWatchersPerZone()
    {
        std::vector<member> active(740);
        std::map<zone_id, int> watchers;
        for (std::size_t i = 0; i < active.size(); ++i) {
            active[i].host.value = fmt::format("h{}", i);
            active[i].zone.value = fmt::format("z{}", i % 6);
        }
        for (const member &each : active)
            watchers[each.zone] += isWatcher(active, each.host, 2) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, watchers.size());
        for (const auto &[zone, count] : watchers)
            CPPUNIT_ASSERT_EQUAL(2, count);
    }

    /// Guards against one invalid entry of the platform's host list that hides leaving servers.
    void skipsInvalidHostListEntries()
    {
        const auto list = host_list::parse(
            R"({"hosts":[7,{"id":"b2","role":"backend","state":"leaving"},{"id":"x"},
                {"id":"b1","role":"backend","state":"live"},
                {"id":"e1","role":"entry","state":"live","address":"127.0.0.1:70"},
                {"id":"e2","role":"entry","state":"live","address":"nowhere"}]})");
        CPPUNIT_ASSERT(list.ok());
        CPPUNIT_ASSERT(list->leavingServers == std::vector<server_id>{server_id{"b2"}});
        const endpoint entry{"127.0.0.1", 70};
        CPPUNIT_ASSERT(list->entryHosts == std::vector<endpoint>{entry});
        CPPUNIT_ASSERT(!host_list::parse("{").ok());
        CPPUNIT_ASSERT(!host_list::parse("[]").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(distribution_test);

} // namespace waxwing
