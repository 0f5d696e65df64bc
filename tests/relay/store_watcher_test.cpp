#include "relay/store_watcher.h"

#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class store_watcher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_watcher_test);
    CPPUNIT_TEST(listsAllPagesThenWatches);
    CPPUNIT_TEST(listsContinueBehindObjectsWithoutNames);
    CPPUNIT_TEST(listsAgainOnlyWhenHistoryIsGone);
    CPPUNIT_TEST(retryDelayGrowsToItsLimit);
    CPPUNIT_TEST(watchesWithoutWaitWhileTheStoreFails);
    CPPUNIT_TEST(ignoresTheResultOfAnEarlierCall);
    CPPUNIT_TEST(startingFleetSendsAboutOneCallForEachHost);
    CPPUNIT_TEST(newReaderAnswersOtherHostsWithoutListingAgain);
    CPPUNIT_TEST(hostCutOffFromItsSourcesReadsTheStoreOnceASecond);
    CPPUNIT_TEST(hostsKeepServingWhileTheStoreIsDown);
    CPPUNIT_TEST(hostsIgnoreOlderRoutes);
    CPPUNIT_TEST(missingRegistrationsStayUsableForTwoSeconds);
    CPPUNIT_TEST(leavingServerReceivesNoNewRequests);
    CPPUNIT_TEST(olderCopyOfAnotherHostIsRejected);
    CPPUNIT_TEST(restartedHostAcceptsTheListOfAnotherHost);
    CPPUNIT_TEST(laterEraListsAgain);
    CPPUNIT_TEST(failureOfALaterEraListsAgain);
    CPPUNIT_TEST(answersOfAnEarlierEraAreRejected);
    CPPUNIT_TEST(pagesOfTwoErasAreListedAgain);
    CPPUNIT_TEST(eraSeenElsewhereAbandonsTheWatch);
    CPPUNIT_TEST(eraSeenElsewhereKeepsTheFirstList);
    CPPUNIT_TEST(hostsStartWhileTheStoreStatesAnEra);
    CPPUNIT_TEST(changesWithReusedRevisionsReachAllHosts);
    CPPUNIT_TEST(routesAndDeparturesSurviveAnOlderCopy);
    CPPUNIT_TEST(routesRewrittenUnderTheSameVersionAreAdopted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_watcher.start(m_now); }

    /// Guards against missed objects or changes: each page must continue after the last object. The
    /// first watch must start at the revision of the oldest page, since an object of that page may
    /// change before the last page is read. Later watches start at the last revision received.
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
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, std::get<watch_call>(call.how).revision);
        CPPUNIT_ASSERT(!answer(call, {{}, false, 9}).has_value());
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, std::get<watch_call>(call.how).revision);
        CPPUNIT_ASSERT(!answer(call, {{{"c", 10, false, {}}}, false, 10})->isComplete);
        // The next watch is delayed, so that changes in quick succession cost one call.
        CPPUNIT_ASSERT(m_watcher.nextDeadline() == m_now + 300ms);
    }

    /// Guards against a host that reads the same page without end, and keeps each copy in memory,
    /// because the name of the last object cannot be read.
    void listsContinueBehindObjectsWithoutNames()
    {
        store_call call = nextCall();
        answer(call, {{{"a", 1, false, {}}, {"", 0, false, {}}}, true, 5});
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::get<list_call>(call.how).after);
        CPPUNIT_ASSERT(!answer(call, {{{"", 0, false, {}}}, true, 5}).has_value());
        CPPUNIT_ASSERT(*m_watcher.nextDeadline() > m_now);
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string(), std::get<list_call>(call.how).after);
    }

    /// Guards against a full list after every failed call, which costs far more than a watch.
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

    /// Guards against frequent retries while the store is down, since failed calls cost too.
    void retryDelayGrowsToItsLimit()
    {
        duration last{0};
        for (int i = 0; i < 8; ++i) {
            fail(nextCall(), store_failure::Unavailable);
            last = *m_watcher.nextDeadline() - m_now;
            CPPUNIT_ASSERT(last <= 1600ms);
        }
        CPPUNIT_ASSERT(last >= 800ms);
        CPPUNIT_ASSERT_EQUAL(8U, m_watcher.failures());
        answer(nextCall(), {{}, false, 6});
        CPPUNIT_ASSERT_EQUAL(0U, m_watcher.failures());
    }

    /// Guards against a watch that is sent shortly before the end of an outage and lost: it would
    /// end only after its full wait time, and the host would miss changes for another five seconds.
    void watchesWithoutWaitWhileTheStoreFails()
    {
        answer(nextCall(), {{}, false, 6});
        const auto waitTimeOf = [](const store_call &call) {
            return std::get<watch_call>(call.how).wait;
        };
        // The first watch confirms the list, which may be old.
        answer(nextCall(), {{}, false, 6});
        store_call call = nextCall();
        CPPUNIT_ASSERT(waitTimeOf(call) > 1s);
        fail(call, store_failure::NoAnswer);
        call = nextCall();
        CPPUNIT_ASSERT(waitTimeOf(call) == 0ms);
        answer(call, {{}, false, 6});
        CPPUNIT_ASSERT(waitTimeOf(nextCall()) > 1s);
    }

    /// Guards against applying the result of an earlier call as that of the call in progress.
    void ignoresTheResultOfAnEarlierCall()
    {
        store_call call = nextCall();
        --call.number;
        CPPUNIT_ASSERT(!answer(call, {{}, false, 6}).has_value());
        CPPUNIT_ASSERT(!m_watcher.hasListed());
    }

    /// Guards against a fleet whose hosts all list from the store at its full cost and watch it
    /// until they know each other. The target for a fleet of this size is one call for each host.
    void startingFleetSendsAboutOneCallForEachHost()
    {
        simulation_layout layout;
        layout.hosts = 120;
        relay_simulation world(layout);
        world.runUntil(12s);
        for (std::size_t host = 0; host < layout.hosts; ++host)
            CPPUNIT_ASSERT(world.status(host).ready);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(world.storeCalls), world.storeCalls <= layout.hosts);
        CPPUNIT_ASSERT_EQUAL(2 * layout.hosts, world.staleStoreCalls);
        // Budgets and roles follow the known hosts five times a second until all are known.
        CPPUNIT_ASSERT(world.counters["relay_host_count_changes_total"] <= 15 * layout.hosts);
        CPPUNIT_ASSERT_EQUAL(layout.hosts, world.logLines["hosts share connections and budgets"]);
    }

    /// Guards against a host that lists everything again when it becomes a reader, and against
    /// other hosts that wait for its current call to end before it answers them.
    void newReaderAnswersOtherHostsWithoutListingAgain()
    {
        answer(nextCall(), {{}, false, 6});
        m_watcher.setRole({false, {{"10.1.0.9", 7000}}}, m_now);
        CPPUNIT_ASSERT(nextCall().source.has_value());
        m_watcher.setRole({}, m_now);
        const store_call call = nextCall();
        CPPUNIT_ASSERT(!call.source.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, std::get<watch_call>(call.how).revision);
        CPPUNIT_ASSERT(std::get<watch_call>(call.how).wait == 0ms);
    }

    /// Guards against a third of a large fleet that is cut off from the readers and calls the store
    /// after every change, while an index is divided into other shards.
    void hostCutOffFromItsSourcesReadsTheStoreOnceASecond()
    {
        answer(nextCall(), {{}, false, 6});
        m_watcher.setRole({false, {{"10.1.0.9", 7000}}}, m_now);
        const store_call toSource = nextCall();
        CPPUNIT_ASSERT(toSource.source.has_value());
        fail(toSource, store_failure::NoAnswer);
        const store_call direct = nextCall();
        CPPUNIT_ASSERT(!direct.source.has_value());
        answer(direct, {{{"a", 7, false, {}}}, false, 7});
        CPPUNIT_ASSERT(m_watcher.nextDeadline() == m_now + 1s);
    }

    /// Guards against hosts that fail requests, call the store too often or stay on the old routes
    /// when the store is down for 27 s and then returns with a new document.
    void hostsKeepServingWhileTheStoreIsDown()
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
        // Two kinds on six hosts; each call takes a second and is followed by the retry delay.
        CPPUNIT_ASSERT(calls <= 300);
    }

    /// Guards against applying an older document, which the store may return after a restore from a
    /// backup.
    void hostsIgnoreOlderRoutes()
    {
        relay_simulation world({});
        world.at(1s, [&world] { world.publish(world.document(7)); });
        world.at(2s, [&world] { world.publish(world.document(5)); });
        world.runUntil(4s);
        for (std::size_t host = 0; host < 6; ++host)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, world.status(host).routesVersion);
    }

    /// Guards against failed requests when all registrations disappear from the store for 2 s.
    void missingRegistrationsStayUsableForTwoSeconds()
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

    /// Guards against sending requests to a server after its registration marks it as leaving.
    void leavingServerReceivesNoNewRequests()
    {
        relay_simulation world({});
        world.at(3s, [&world] {
            registered_server leaving = world.leafOf("shard-0", 0).entry;
            leaving.leaving = true;
            world.registerServer(leaving);
        });
        world.load("/all/", 2s, 8s, 10ms);
        world.runUntil(10s);
        // The limit is 3 s after the change. Hosts with a watch in progress receive it at once, so
        // the check allows 1 s.
        CPPUNIT_ASSERT(world.leafOf("shard-0", 0).arrivals.back() <= world.now() - 10s + 4s);
        for (const simulated_request &each : world.requests)
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, each.parts());
    }

    /// Guards against a server that had left, or a key that was withdrawn, in use again: a host
    /// that has to list again gets the list of a host whose copy is older than what it knows.
    void olderCopyOfAnotherHostIsRejected()
    {
        m_watcher.setRole({false, {{"127.0.0.1", 1}, {"127.0.0.1", 2}}}, m_now);
        answer(nextCall(), {{{"a", 1, false, {}}, {"left", 2, false, {}}}, false, 6});
        answer(nextCall(), {{{"left", 9, true, {}}}, false, 9});
        fail(nextCall(), store_failure::HistoryGone);
        const store_answer older{{{"a", 1, false, {}}, {"left", 2, false, {}}}, false, 8};
        for (int i = 0; i < 4; ++i) {
            const store_call call = nextCall();
            CPPUNIT_ASSERT(std::holds_alternative<list_call>(call.how));
            CPPUNIT_ASSERT(call.source.has_value());
            CPPUNIT_ASSERT(!answer(call, older).has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, m_watcher.revision());
        }
        // The store decides when no other host has a newer copy.
        const store_call call = nextCall();
        CPPUNIT_ASSERT(!call.source.has_value());
        const auto update = answer(call, {{{"a", 1, false, {}}}, false, 10});
        CPPUNIT_ASSERT(update.has_value() && update->isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update->objects.size());
    }

    /// Guards against a host that starts while the store fails and learns nothing, because it
    /// rejects the copies of other hosts; its watch then continues where the copy ends.
    void restartedHostAcceptsTheListOfAnotherHost()
    {
        m_watcher.setRole({false, {{"127.0.0.1", 1}}}, m_now);
        fail(nextCall(), store_failure::Unreachable);
        store_call call = nextCall();
        for (; !call.source.has_value(); call = nextCall())
            fail(call, store_failure::Unreachable);
        CPPUNIT_ASSERT(answer(call, {{{"left", 2, false, {}}}, false, 8}).has_value());
        call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, std::get<watch_call>(call.how).revision);
        CPPUNIT_ASSERT(!call.source.has_value()
                       || answer(call, {{{"left", 9, true, {}}}, false, 9}).has_value());
    }

    /// Guards against changes that are missed because the store gives out revisions again.
    void laterEraListsAgain()
    {
        answer(nextCall(), {{{"a", 1, false, {}}}, false, 6}, 1);
        CPPUNIT_ASSERT(!answer(nextCall(), {{{"b", 7, false, {}}}, false, 7}, 2).has_value());
        CPPUNIT_ASSERT(m_watcher.hasListed());
        const store_call call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string(), std::get<list_call>(call.how).after);
        const auto update = answer(call, {{{"b", 3, false, {}}}, false, 4}, 2);
        CPPUNIT_ASSERT(update.has_value() && update->isComplete);
        const store_call next = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, std::get<watch_call>(next.how).revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, std::get<watch_call>(next.how).era);
    }

    /// Guards against a watch that goes on in the earlier era after a refusal that stated a later
    /// one.
    void failureOfALaterEraListsAgain()
    {
        answer(nextCall(), {{}, false, 6}, 1);
        const store_call call = nextCall();
        CPPUNIT_ASSERT(
            !m_watcher.onCallFinished({call, store_failure::Unavailable, 2}, m_now, m_random)
                 .has_value());
        CPPUNIT_ASSERT(std::holds_alternative<list_call>(nextCall().how));
    }

    /// Guards against objects that go back to those of an earlier era.
    void answersOfAnEarlierEraAreRejected()
    {
        answer(nextCall(), {{}, false, 6}, 2);
        for (const std::optional<std::uint64_t> era : {std::optional<std::uint64_t>(1), {}}) {
            CPPUNIT_ASSERT(!answer(nextCall(), {{{"a", 9, false, {}}}, false, 9}, era).has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, m_watcher.revision());
            CPPUNIT_ASSERT(m_watcher.failures() > 0);
        }
        CPPUNIT_ASSERT(answer(nextCall(), {{{"a", 7, false, {}}}, false, 7}, 2).has_value());
    }

    /// Guards against a list that mixes objects of two eras.
    void pagesOfTwoErasAreListedAgain()
    {
        answer(nextCall(), {{{"a", 1, false, {}}}, true, 5}, 1);
        CPPUNIT_ASSERT(!answer(nextCall(), {{{"b", 2, false, {}}}, false, 6}, 2).has_value());
        CPPUNIT_ASSERT(!m_watcher.hasListed());
        const store_call call = nextCall();
        CPPUNIT_ASSERT_EQUAL(std::string(), std::get<list_call>(call.how).after);
        const auto update = answer(call, {{{"b", 2, false, {}}}, false, 6}, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update->objects.size());
    }

    /// Guards against a host that learns of a restore for one kind of object and waits for the end
    /// of the watch of the other kind.
    void eraSeenElsewhereAbandonsTheWatch()
    {
        answer(nextCall(), {{}, false, 6}, 1);
        const store_call abandoned = nextCall();
        m_watcher.onEra(2, m_now);
        CPPUNIT_ASSERT(std::holds_alternative<list_call>(nextCall().how));
        CPPUNIT_ASSERT(!answer(abandoned, {{{"a", 7, false, {}}}, false, 7}, 1).has_value());
    }

    /// Guards against a second list call of each host of a fleet that starts, or none at all.
    void eraSeenElsewhereKeepsTheFirstList()
    {
        const store_call call = nextCall();
        m_watcher.onEra(1, m_now);
        CPPUNIT_ASSERT(!m_watcher.nextDeadline().has_value());
        CPPUNIT_ASSERT(answer(call, {{{"a", 1, false, {}}}, false, 5}, 1).has_value());
    }

    /// Guards against hosts that never list the servers, because they learn the era from the
    /// routes.
    void hostsStartWhileTheStoreStatesAnEra()
    {
        simulation_layout layout;
        layout.storeEra = 4;
        relay_simulation world(layout);
        world.runUntil(3s);
        for (std::size_t host = 0; host < 6; ++host)
            CPPUNIT_ASSERT(world.status(host).ready);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             world.logLines["the store was restored from an older copy"]);
    }

    /// Guards against hosts that miss the changes whose revisions they have already seen before the
    /// restore, directly and through hosts that read the store for others.
    void changesWithReusedRevisionsReachAllHosts()
    {
        for (const std::size_t hosts : {6U, 40U}) {
            simulation_layout layout;
            layout.hosts = hosts;
            relay_simulation world(layout);
            world.at(5s, [&world] { world.saveStore(); });
            world.at(6s, [&world] {
                for (int version = 2; version < 8; ++version)
                    world.publish(world.document(static_cast<std::uint64_t>(version)));
            });
            world.at(10s, [&world] {
                world.restoreStore();
                registered_server leaving = world.leafOf("shard-0", 0).entry;
                leaving.leaving = true;
                world.registerServer(leaving);
                for (int version = 8; version < 14; ++version)
                    world.publish(world.document(static_cast<std::uint64_t>(version)));
            });
            world.load("/all/", 4s, 18s, 20ms);
            world.runUntil(20s);
            for (std::size_t host = 0; host < hosts; ++host)
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, world.status(host).routesVersion);
            CPPUNIT_ASSERT(world.leafOf("shard-0", 0).arrivals.back() <= world.now() - 20s + 13s);
            for (const simulated_request &each : world.requests)
                CPPUNIT_ASSERT_EQUAL(200, each.status());
        }
    }

    /// Guards against routes and departures that go back because an older copy does not have them.
    void routesAndDeparturesSurviveAnOlderCopy()
    {
        relay_simulation world({});
        world.at(3s, [&world] { world.saveStore(); });
        world.at(4s, [&world] {
            world.publish(world.document(2));
            registered_server leaving = world.leafOf("shard-0", 0).entry;
            leaving.leaving = true;
            world.registerServer(leaving);
        });
        world.at(8s, [&world] { world.restoreStore(); });
        world.load("/all/", 2s, 14s, 20ms);
        world.runUntil(15s);
        for (std::size_t host = 0; host < 6; ++host)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.status(host).routesVersion);
        CPPUNIT_ASSERT(world.leafOf("shard-0", 0).arrivals.back() <= world.now() - 15s + 5s);
        CPPUNIT_ASSERT(world.logLines["the store was restored from an older copy"] >= 6);
        for (const simulated_request &each : world.requests)
            CPPUNIT_ASSERT_EQUAL(200, each.status());
    }

    /// Guards against hosts that keep the content of a version that the operators wrote otherwise
    /// after the restore.
    void routesRewrittenUnderTheSameVersionAreAdopted()
    {
        relay_simulation world({});
        world.at(3s, [&world] { world.saveStore(); });
        world.at(4s, [&world] { world.publish(world.document(2)); });
        world.at(8s, [&world] {
            world.restoreStore();
            const route_document written = world.document(2);
            std::vector<route> routes = written.routes();
            routes.push_back(routes.back());
            routes.back().name = "added";
            routes.back().prefix = "/added/";
            world.publish(
                route_document::create(2, routes, written.services(), written.limits()).value());
        });
        world.runUntil(12s);
        const std::size_t request = world.send(0, "/added/x");
        world.runUntil(14s);
        CPPUNIT_ASSERT_EQUAL(200, world.requests[request].status());
    }

private:
    store_call nextCall()
    {
        CPPUNIT_ASSERT(m_watcher.nextDeadline().has_value());
        m_now = std::max(m_now, *m_watcher.nextDeadline());
        relay_effect_list effects;
        m_watcher.onTick(m_now, effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, effects.size());
        CPPUNIT_ASSERT(!m_watcher.nextDeadline().has_value());
        return std::get<call_store>(effects[0]).call;
    }
    std::optional<store_update> answer(const store_call &call, store_answer content,
                                       std::optional<std::uint64_t> era = {})
    {
        return m_watcher.onCallFinished({call, std::move(content), era}, m_now, m_random);
    }
    void fail(const store_call &call, store_failure reason)
    {
        CPPUNIT_ASSERT(!m_watcher.onCallFinished({call, reason}, m_now, m_random).has_value());
    }

    time_point m_now = time_point{} + 1h;
    random_engine m_random{1};
    store_watcher m_watcher{store_object_kind::Servers, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watcher_test);

} // namespace
} // namespace waxwing::relay
