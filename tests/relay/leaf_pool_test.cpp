#include "relay/leaf_pool.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;
using result_kind = leaf_choice::result_kind;

class leaf_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaf_pool_test);
    CPPUNIT_TEST(slowServerInOwnZoneLosesPreferenceUntilEstimateDecays);
    CPPUNIT_TEST(stalledServerIsNotChosen);
    CPPUNIT_TEST(unresponsiveServerIsEjectedAndReceivesSingleTrials);
    CPPUNIT_TEST(serverAtConnectionShareIsFull);
    CPPUNIT_TEST(leavingServerIsNotChosen);
    CPPUNIT_TEST(departureAnnouncedInAnAnswerIsFinalUntilRestart);
    CPPUNIT_TEST(departureIsRememberedAfterTheServerIsRemoved);
    CPPUNIT_TEST(pausedServerIsNotChosenUntilThePauseEnds);
    CPPUNIT_TEST(serverWithALimitIsFullUntilTheNextTurn);
    CPPUNIT_TEST(unlistedServerIsChosenOnlyWithoutRegisteredOnes);
    CPPUNIT_TEST(serverThatRejectsConnectionsIsNotEjected);
    CPPUNIT_TEST(slownessRisesAfterSlowServerButNotAfterPause);
    CPPUNIT_TEST(restartedServerIsNoLongerEjected);
    CPPUNIT_TEST_SUITE_END();

public:
    leaf_pool_test()
        : m_pool({}, zone_latencies({"here"}, {{{"here"}, "a"}, {{"near"}, "a"}, {{"far"}, "b"}}))
    { }

    void setUp() override
    {
        for (const char *zone : {"here", "near", "far"})
            m_pool.put(entryOf(zone), m_now);
    }

    /// Guards against requests that stay on a slow server in the own zone, and against a server
    /// that is not used again after it recovered.
    void slowServerInOwnZoneLosesPreferenceUntilEstimateDecays()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("here"), choose().server->entry().id.value);
        const auto slow = choose().server;
        for (int i = 0; i < 10; ++i) {
            slow->onSent({1}, 10ms, m_now);
            slow->onAnswer({1}, 8, false, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
        // The estimate has decayed, so that the server is chosen again.
        m_now += 30s;
        CPPUNIT_ASSERT_EQUAL(std::string("here"), choose().server->entry().id.value);
    }

    /// Guards against requests that queue on a paused server although an unanswered request already
    /// shows the pause.
    void stalledServerIsNotChosen()
    {
        raiseLimits();
        const auto paused = choose().server;
        paused->onSent({1}, 10ms, m_now);
        CPPUNIT_ASSERT(choose().server == paused);
        m_now += 41ms;
        CPPUNIT_ASSERT(choose().server != paused);
        CPPUNIT_ASSERT(choose().healthy);
        paused->onAnswer({1}, 4, false, m_now);
        CPPUNIT_ASSERT(!paused->isStalled(m_now));
    }

    /// Guards against several requests that are delayed by a server that is still down.
    void unresponsiveServerIsEjectedAndReceivesSingleTrials()
    {
        const auto down = choose().server;
        down->onSent({1}, 10ms, m_now);
        down->onNoResponse({1}, m_now);
        CPPUNIT_ASSERT(choose().server != down);
        CPPUNIT_ASSERT(m_pool.usableAt({"s"}, placement::anywhere(), m_now) == m_now + 250ms);
        m_now += 20s;
        CPPUNIT_ASSERT(choose().server == down);
        // Only one trial request at a time.
        down->onSent({2}, 10ms, m_now);
        CPPUNIT_ASSERT(choose().server != down);
        down->onNoResponse({2}, m_now);
        CPPUNIT_ASSERT(m_pool.usableAt({"s"}, placement::anywhere(), m_now) == m_now + 500ms);
    }

    /// Guards against connections that a server resets because all hosts together open too many.
    void serverAtConnectionShareIsFull()
    {
        m_pool.setConnections(7, {{{"s"}, 25}}, m_now);
        leaf_pool::leaf_list others;
        const auto local = choose().server;
        raiseLimits();
        for (std::uint64_t i = 1; i <= 3; ++i)
            local->onSent({i}, 10ms, m_now);
        CPPUNIT_ASSERT(choose().server != local);
        for (const leaf_choice &each : {choose(), choose()}) {
            for (std::uint64_t i = 10; i <= 12; ++i)
                each.server->onSent({i}, 10ms, m_now);
        }
        const auto third = choose();
        for (std::uint64_t i = 20; i <= 22 && third.server != nullptr; ++i)
            third.server->onSent({i}, 10ms, m_now);
        CPPUNIT_ASSERT(choose().result == result_kind::Full);
        // With more hosts than connections, each host may still send one request.
        m_pool.setConnections(500, {{{"s"}, 25}}, m_now);
        local->onCancel({1});
        local->onCancel({2});
        local->onCancel({3});
        CPPUNIT_ASSERT(choose().server == local);
    }

    void leavingServerIsNotChosen()
    {
        for (const char *zone : {"here", "near", "far"}) {
            registered_server leaving = entryOf(zone);
            leaving.leaving = true;
            m_pool.put(leaving, m_now);
        }
        CPPUNIT_ASSERT(choose().result == result_kind::None);
        CPPUNIT_ASSERT(!m_pool.isServed({"s"}, placement::anywhere(), m_now));
    }

    /// Guards against requests to a server that is about to stop, sent because the store has not
    /// told of its departure or still has an older registration.
    void departureAnnouncedInAnAnswerIsFinalUntilRestart()
    {
        choose().server->onLeaving();
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
        m_pool.put(entryOf("here"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
        registered_server restarted = entryOf("here");
        restarted.startedAt = 5;
        m_pool.put(restarted, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("here"), choose().server->entry().id.value);
    }

    /// Guards against requests to a server that left and is listed again by an older copy of the
    /// store.
    void departureIsRememberedAfterTheServerIsRemoved()
    {
        registered_server leaving = entryOf("here");
        leaving.leaving = true;
        m_pool.put(leaving, m_now);
        m_pool.put(entryOf("here"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
        m_pool.markUnlisted({"here"}, m_now);
        m_now += 3s;
        m_pool.removeUnlisted(m_now);
        m_pool.put(entryOf("here"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
    }

    /// Guards against requests to a server that asked for none, also as trials or because a shorter
    /// pause came later.
    void pausedServerIsNotChosenUntilThePauseEnds()
    {
        for (const char *zone : {"near", "far"}) {
            registered_server leaving = entryOf(zone);
            leaving.leaving = true;
            m_pool.put(leaving, m_now);
        }
        const auto server = choose().server;
        server->onNoResponse({1}, m_now);
        server->onPauseRequested(m_now + 2s);
        server->onPauseRequested(m_now + 1s);
        CPPUNIT_ASSERT(!m_pool.isServed({"s"}, placement::anywhere(), m_now));
        CPPUNIT_ASSERT(m_pool.usableAt({"s"}, placement::anywhere(), m_now) == m_now + 2s);
        m_now += 1999ms;
        CPPUNIT_ASSERT(choose().result == result_kind::None);
        m_now += 1ms;
        CPPUNIT_ASSERT(choose().server == server);
    }

    /// Guards against requests beyond the limit of a server, and against a restarted server that is
    /// still limited.
    void serverWithALimitIsFullUntilTheNextTurn()
    {
        m_pool.setConnections(6, {{{"s"}, 25}}, m_now);
        const auto server = choose().server;
        server->onRateLimit(12, 0, m_now);
        server->onSent({1}, 10ms, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
        for (const char *zone : {"near", "far"})
            m_pool.markUnlisted({zone}, m_now);
        m_now += 5s;
        m_pool.removeUnlisted(m_now);
        server->onAnswer({1}, 1, false, m_now);
        server->onSent({2}, 10ms, m_now);
        server->onSent({3}, 10ms, m_now);
        server->onSent({4}, 10ms, m_now);
        CPPUNIT_ASSERT(choose().result == result_kind::Full);
        CPPUNIT_ASSERT(m_pool.isServed({"s"}, placement::anywhere(), m_now));
        CPPUNIT_ASSERT(m_pool.nextTurnAt({"s"}, m_now) == m_now + 500ms);
        CPPUNIT_ASSERT(m_pool.usableAt({"s"}, placement::anywhere(), m_now) == m_now + 500ms);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(2),
            m_pool.roomUntil({"s"}, placement::anywhere(), 10ms, m_now, m_now + 1s));
        for (const attempt_id each : {attempt_id{2}, attempt_id{3}, attempt_id{4}})
            server->onAnswer(each, 1, false, m_now);
        CPPUNIT_ASSERT(choose().result == result_kind::Full);
        registered_server restarted = entryOf("here");
        restarted.startedAt = 2;
        m_pool.put(restarted, m_now);
        CPPUNIT_ASSERT(choose().result == result_kind::Found);
        CPPUNIT_ASSERT(!m_pool.nextTurnAt({"s"}, m_now).has_value());
    }

    /// Guards against a host without usable servers when registrations expire during an outage of
    /// the store.
    void unlistedServerIsChosenOnlyWithoutRegisteredOnes()
    {
        m_pool.markUnlisted({"here"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose().server->entry().id.value);
        m_pool.markUnlisted({"near"}, m_now);
        m_pool.markUnlisted({"far"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("here"), choose().server->entry().id.value);
        m_pool.put(entryOf("far"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), choose().server->entry().id.value);
        CPPUNIT_ASSERT(m_pool.nextRemoval() == m_now + 2200ms);
        m_now += 2200ms;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_pool.removeUnlisted(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_pool.size());
        CPPUNIT_ASSERT(!m_pool.nextRemoval().has_value());
    }

    /// Guards against ejecting working servers after hosts lost power. The servers still count the
    /// connections of these hosts and reset new ones.
    void serverThatRejectsConnectionsIsNotEjected()
    {
        raiseLimits();
        const auto server = choose().server;
        const std::size_t before = server->limit();
        for (std::uint64_t id = 1; id <= 5; ++id) {
            server->onSent({id}, 10ms, m_now);
            server->onNotAccepted({id}, m_now);
            m_now += 200ms;
        }
        CPPUNIT_ASSERT(!server->isEjected(m_now));
        CPPUNIT_ASSERT(server->limit() < before);
        CPPUNIT_ASSERT(choose().server == server);
    }

    /// Guards against a server that receives no requests for seconds because of one pause, and
    /// against hedging every request to a server that stays slow.
    void slownessRisesAfterSlowServerButNotAfterPause()
    {
        const auto server = choose().server;
        for (std::uint64_t id = 1; id <= 3; ++id)
            server->onSent({id}, 10ms, m_now);
        m_now += 200ms;
        for (std::uint64_t id = 1; id <= 3; ++id)
            server->onAnswer({id}, 8, false, m_now);
        CPPUNIT_ASSERT(server->slowness(m_now) < 5);
        server->onSent({4}, 10ms, m_now);
        m_now += 80ms;
        server->onAnswer({4}, 8, false, m_now);
        CPPUNIT_ASSERT(server->slowness(m_now) >= 7.9);
    }

    /// Guards against an ejection that outlives the process that caused it, and against a change of
    /// address that is not reported.
    void restartedServerIsNoLongerEjected()
    {
        const auto server = choose().server;
        server->onSent({1}, 10ms, m_now);
        server->onNoResponse({1}, m_now);
        CPPUNIT_ASSERT(server->isEjected(m_now));
        registered_server again = entryOf("here");
        again.startedAt = 77;
        m_pool.put(again, m_now);
        CPPUNIT_ASSERT(!server->isEjected(m_now));
        again.address.port = 9;
        const auto before = m_pool.put(again, m_now);
        CPPUNIT_ASSERT(before.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{80}, before->port);
    }

private:
    /// Raises the concurrency limit of every server to its maximum by good answers.
    void raiseLimits()
    {
        leaf_pool::leaf_list all;
        for (leaf_choice next = choose(); next.result == result_kind::Found;
             next = m_pool.choose({"s"}, placement::anywhere(), all, 10ms, m_random, m_now)) {
            all.push_back(next.server);
            for (int i = 0; i < 10; ++i) {
                for (std::uint64_t id = 100; id < 104; ++id)
                    next.server->onSent({id}, 10ms, m_now);
                for (std::uint64_t id = 100; id < 104; ++id)
                    next.server->onAnswer({id}, 1, false, m_now);
            }
        }
    }
    static registered_server entryOf(const std::string &zone)
    {
        registered_server entry;
        entry.id = {zone};
        entry.service = {"s"};
        entry.zone = {zone};
        entry.address = {"10.0.0.1", 80};
        entry.slots = 2;
        return entry;
    }
    leaf_choice choose()
    {
        return m_pool.choose({"s"}, placement::anywhere(), {}, 10ms, m_random, m_now);
    }

    time_point m_now = time_point{} + 1h;
    random_engine m_random{1};
    leaf_pool m_pool;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaf_pool_test);

} // namespace
} // namespace waxwing::relay
