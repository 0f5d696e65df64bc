#include "relay/store_follower.h"

#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class store_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_follower_test);
    CPPUNIT_TEST(listsAllPagesThenWatches);
    CPPUNIT_TEST(listsAgainOnlyWhenHistoryIsGone);
    CPPUNIT_TEST(waitsLongerAfterEachFailure);
    CPPUNIT_TEST(asksWithoutWaitingWhileTheStoreFails);
    CPPUNIT_TEST(ignoresTheEndOfAnEarlierCall);
    CPPUNIT_TEST(hostsServeOnWhileTheStoreIsDown);
    CPPUNIT_TEST(hostsNeverGoBackToOlderRoutes);
    CPPUNIT_TEST(lapsedRegistrationsStayUsableForAWhile);
    CPPUNIT_TEST(aLeavingServerGetsNoNewWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_follower.start(m_now); }

    void listsAllPagesThenWatches()
    {
        store_call call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string(), std::get<list_call>(call.how).after);
        CPPUNIT_ASSERT(!answer(call, {{{"a", 1, false, {}}}, true, 5}).has_value());
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::get<list_call>(call.how).after);
        const auto update = answer(call, {{{"b", 2, false, {}}}, false, 6});
        CPPUNIT_ASSERT(update.has_value());
        CPPUNIT_ASSERT(update->isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, update->objects.size());
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, std::get<watch_call>(call.how).revision);
        CPPUNIT_ASSERT(!answer(call, {{}, false, 9}).has_value());
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, std::get<watch_call>(call.how).revision);
        CPPUNIT_ASSERT(!answer(call, {{{"c", 10, false, {}}}, false, 10})->isComplete);
        // Changes that follow at once are read together.
        CPPUNIT_ASSERT(m_follower.nextDeadline() == m_now + 300ms);
    }

    void listsAgainOnlyWhenHistoryIsGone()
    {
        answer(nextCall(), {{}, false, 6});
        store_call call = nextCall();
        fail(call, store_failure::NoAnswer);
        call = nextCall();
        CPPUNIT_ASSERT(std::holds_alternative<watch_call>(call.how));
        fail(call, store_failure::HistoryGone);
        CPPUNIT_ASSERT(std::holds_alternative<list_call>(nextCall().how));
    }

    /// Guards against paying for calls to a store that is down.
    void waitsLongerAfterEachFailure()
    {
        duration last{0};
        for (int i = 0; i < 8; ++i) {
            fail(nextCall(), store_failure::Unavailable);
            last = *m_follower.nextDeadline() - m_now;
            CPPUNIT_ASSERT(last <= 1600ms);
        }
        CPPUNIT_ASSERT(last >= 800ms);
        CPPUNIT_ASSERT_EQUAL(8U, m_follower.failures());
        answer(nextCall(), {{}, false, 6});
        CPPUNIT_ASSERT_EQUAL(0U, m_follower.failures());
    }

    /// Guards against a watch that is sent shortly before the end of an outage and then waits in
    /// vain, so that the host misses changes for five seconds more.
    void asksWithoutWaitingWhileTheStoreFails()
    {
        answer(nextCall(), {{}, false, 6});
        const auto waitOf = [](const store_call &call) {
            return std::get<watch_call>(call.how).wait;
        };
        store_call call = nextCall();
        CPPUNIT_ASSERT(waitOf(call) > 1s);
        fail(call, store_failure::NoAnswer);
        call = nextCall();
        CPPUNIT_ASSERT(waitOf(call) == 0ms);
        answer(call, {{}, false, 6});
        CPPUNIT_ASSERT(waitOf(nextCall()) > 1s);
    }

    void ignoresTheEndOfAnEarlierCall()
    {
        store_call call = nextCall();
        --call.number;
        CPPUNIT_ASSERT(!answer(call, {{}, false, 6}).has_value());
        CPPUNIT_ASSERT(!m_follower.hasListed());
    }

    void hostsServeOnWhileTheStoreIsDown()
    {
        relay_simulation world({});
        world.at(3s, [&world] { world.storeReachable = false; });
        world.at(30s, [&world] {
            world.storeReachable = true;
            world.publish(world.document(2));
        });
        world.load("/all/", 2s, 38s, 50ms);
        world.runUntil(29s);
        const std::size_t calls = world.storeCalls;
        world.runUntil(40s);
        for (const simulated_request &each : world.requests)
            CPPUNIT_ASSERT_EQUAL(200, each.status());
        for (std::size_t host = 0; host < 6; ++host)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.status(host).routesVersion);
        // Two followed kinds on six hosts, each call a second long and followed by a pause.
        CPPUNIT_ASSERT(calls <= 300);
    }

    /// Guards against a store that shows an older document, as after a restore.
    void hostsNeverGoBackToOlderRoutes()
    {
        relay_simulation world({});
        world.at(1s, [&world] { world.publish(world.document(7)); });
        world.at(2s, [&world] { world.publish(world.document(5)); });
        world.runUntil(4s);
        for (std::size_t host = 0; host < 6; ++host)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, world.status(host).routesVersion);
    }

    void lapsedRegistrationsStayUsableForAWhile()
    {
        relay_simulation world({});
        world.at(3s, [&world] {
            for (const auto &[id, server] : world.leaves)
                world.unregister(id);
        });
        world.at(5s, [&world] {
            for (const auto &[id, server] : world.leaves)
                world.registerServer(server.entry);
        });
        world.load("/all/", 2s, 8s, 20ms);
        world.runUntil(10s);
        for (const simulated_request &each : world.requests)
            CPPUNIT_ASSERT_EQUAL(200, each.status());
    }

    void aLeavingServerGetsNoNewWork()
    {
        relay_simulation world({});
        world.at(3s, [&world] {
            registered_server leaving = world.leafOf("shard-0", 0).entry;
            leaving.leaving = true;
            world.registerServer(leaving);
        });
        world.load("/all/", 2s, 8s, 10ms);
        world.runUntil(10s);
        // 3 s after the change at the latest; hosts that watch know at once.
        CPPUNIT_ASSERT(world.leafOf("shard-0", 0).arrivals.back() <= world.now() - 10s + 4s);
        for (const simulated_request &each : world.requests)
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, each.parts());
    }

private:
    store_call nextCall()
    {
        CPPUNIT_ASSERT(m_follower.nextDeadline().has_value());
        m_now = std::max(m_now, *m_follower.nextDeadline());
        relay_effect_list effects;
        m_follower.onTick(m_now, effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, effects.size());
        CPPUNIT_ASSERT(!m_follower.nextDeadline().has_value());
        return std::get<call_store>(effects[0]).call;
    }
    std::optional<store_update> answer(const store_call &call, store_answer content)
    {
        return m_follower.onCalled({call, std::move(content)}, m_now, m_random);
    }
    void fail(const store_call &call, store_failure reason)
    {
        CPPUNIT_ASSERT(!m_follower.onCalled({call, reason}, m_now, m_random).has_value());
    }

    time_point m_now = time_point{} + 1h;
    random_engine m_random{1};
    store_follower m_follower{followed_kind::Servers, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_follower_test);

} // namespace
} // namespace waxwing::relay
