#include "backends/backend_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

const service_id desk{"desk"};
const shard_id first{"s1"};
const std::vector<server_id> pair{{"near"}, {"far"}};

configuration makeDocument()
{
    configuration document;
    document.zones = {{"north"}, {"south"}};
    for (const char *name : {"far", "near", "south-2", "north-2"}) {
        backend_server server;
        server.id = {name};
        server.zone = {std::string(name) == "far" || std::string(name) == "south-2" ? "south"
                                                                                    : "north"};
        server.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + document.servers.size())};
        server.slots = 2;
        document.servers.push_back(server);
    }
    return document;
}

} // namespace

class backend_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_pool_test);
    CPPUNIT_TEST(coldServerStartsWithOneRequest);
    CPPUNIT_TEST(overloadLowersLimitOncePerRoundTrip);
    CPPUNIT_TEST(prefersNearServerUnlessItIsSlower);
    CPPUNIT_TEST(ejectsAfterThreeFailuresAndReinstatesAfterTrial);
    CPPUNIT_TEST(usesEjectedServersWhenNoneIsLeft);
    CPPUNIT_TEST(ejectsTheOnlyServerOfAZone);
    CPPUNIT_TEST(avoidsAServerThatStaysSilent);
    CPPUNIT_TEST(ejectsAServerWhoseRequestsAreGivenUp);
    CPPUNIT_TEST(lostZoneGetsLittleWorkThoughHalfOfItIsNotEjected);
    CPPUNIT_TEST(leavingServerIsNeverChosen);
    CPPUNIT_TEST(staleHealthDoesNotOverrideReplies);
    CPPUNIT_TEST(prefersServerKnownToHoldTheSnapshot);
    CPPUNIT_TEST(chooseStaysWithinItsTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool = std::make_unique<backend_pool>(backend_pool_settings{}, zone_id{"north"});
        m_pool->configure(makeDocument(), m_now);
    }

    /// Guards against a restarted server that is flooded before its caches are warm.
    void coldServerStartsWithOneRequest()
    {
        CPPUNIT_ASSERT(choose({{"near"}}).has_value());
        m_pool->onSent({"near"}, m_now);
        CPPUNIT_ASSERT(!choose({{"near"}}).has_value());
        CPPUNIT_ASSERT(m_pool->mayChooseLater(desk, first, {{"near"}}, {}, {}, m_wall));
        m_pool->onAnswer({"near"}, 5ms, m_now);
        CPPUNIT_ASSERT_EQUAL(2, fill("near"));
    }

    /// Guards against one burst of refusals that closes a server.
    void overloadLowersLimitOncePerRoundTrip()
    {
        warm("near", 8);
        const int before = fill("near");
        CPPUNIT_ASSERT_EQUAL(8, before);
        for (int i = 0; i < 4; ++i)
            m_pool->onFailure({"near"}, {leaf_error::Overloaded, "", 1s, {}}, m_now);
        for (int i = 0; i < 4; ++i)
            m_pool->onAbandoned({"near"}, m_now);
        CPPUNIT_ASSERT_EQUAL(5, fill("near"));
    }

    /// Guards against traffic between zones without need, and against loyalty to a slow server.
    void prefersNearServerUnlessItIsSlower()
    {
        warm("near", 2);
        warm("far", 2);
        CPPUNIT_ASSERT_EQUAL(100, chosenOf100("near"));
        for (int i = 0; i < 20; ++i)
            m_pool->onUnanswered({"near"}, 50ms, m_now);
        CPPUNIT_ASSERT_EQUAL(0, chosenOf100("near"));
    }

    /// Guards against a dead server that keeps its share of requests, and one that never returns.
    void ejectsAfterThreeFailuresAndReinstatesAfterTrial()
    {
        fail("near", 3);
        CPPUNIT_ASSERT(m_pool->isEjected({"near"}, m_now));
        CPPUNIT_ASSERT_EQUAL(0, chosenOf100("near"));
        m_now += 1001ms;
        CPPUNIT_ASSERT(choose(pair) == server_id{"near"});
        m_pool->onSent({"near"}, m_now);
        CPPUNIT_ASSERT_MESSAGE("one trial at a time", choose(pair) == server_id{"far"});
        m_pool->onFailure({"near"}, {leaf_error::NotConnected, "", 0ms, {}}, m_now);
        m_now += 1001ms;
        CPPUNIT_ASSERT_MESSAGE("second ejection is longer", choose(pair) == server_id{"far"});
        m_now += 1000ms;
        CPPUNIT_ASSERT(choose(pair) == server_id{"near"});
        m_pool->onSent({"near"}, m_now);
        m_pool->onAnswer({"near"}, 5ms, m_now);
        CPPUNIT_ASSERT(!m_pool->isEjected({"near"}, m_now));
    }

    /// Guards against a shard that is given up although its servers may be well.
    void usesEjectedServersWhenNoneIsLeft()
    {
        fail("near", 3);
        fail("far", 3);
        CPPUNIT_ASSERT(m_pool->isEjected({"near"}, m_now) && m_pool->isEjected({"far"}, m_now));
        CPPUNIT_ASSERT(choose(pair).has_value());
    }

    /// Guards against a rule for whole zones that keeps the dead server of a small one in use.
    void ejectsTheOnlyServerOfAZone()
    {
        configuration document = makeDocument();
        document.servers.resize(2);
        m_pool->configure(document, m_now);
        fail("far", 3);
        CPPUNIT_ASSERT(m_pool->isEjected({"far"}, m_now));
    }

    /// Guards against requests that follow others to a server behind a cut connection, which shows
    /// neither failures nor answers.
    void avoidsAServerThatStaysSilent()
    {
        warm("near", 4);
        warm("far", 4);
        m_pool->onSent({"near"}, m_now);
        m_now += 20ms;
        CPPUNIT_ASSERT(!m_pool->isStalled({"near"}, m_now));
        CPPUNIT_ASSERT(chosenOf100("near") > 0);
        m_now += 6ms;
        CPPUNIT_ASSERT(m_pool->isStalled({"near"}, m_now));
        CPPUNIT_ASSERT_EQUAL(0, chosenOf100("near"));
        CPPUNIT_ASSERT(choose({{"near"}}).has_value());
        m_pool->onAnswer({"near"}, 26ms, m_now);
        CPPUNIT_ASSERT(!m_pool->isStalled({"near"}, m_now));
    }

    /// Guards against a silent server that is never ejected because its requests are cancelled
    /// before they time out, and against one that is ejected for single slow replies.
    void ejectsAServerWhoseRequestsAreGivenUp()
    {
        for (int i = 0; i < 10; ++i) {
            m_pool->onSent({"near"}, m_now);
            m_now += 30ms;
            m_pool->onAnswer({"near"}, 5ms, m_now - 1ms);
            m_pool->onUnanswered({"near"}, 30ms, m_now);
        }
        CPPUNIT_ASSERT(!m_pool->isEjected({"near"}, m_now));
        for (int i = 0; i < 3; ++i) {
            m_pool->onSent({"near"}, m_now);
            m_now += 30ms;
            m_pool->onUnanswered({"near"}, 30ms, m_now);
            m_pool->onAbandoned({"near"}, m_now);
        }
        CPPUNIT_ASSERT(m_pool->isEjected({"near"}, m_now));
    }

    /// Guards against retries for half of the requests after the loss of a zone.
    void lostZoneGetsLittleWorkThoughHalfOfItIsNotEjected()
    {
        fail("north-2", 3);
        fail("near", 3);
        CPPUNIT_ASSERT(!m_pool->isEjected({"near"}, m_now));
        CPPUNIT_ASSERT_EQUAL(0, chosenOf100("near"));
    }

    /// Guards against new work, trials included, on a server that was told to leave.
    void leavingServerIsNeverChosen()
    {
        fail("near", 3);
        m_now += 10s;
        m_pool->setLeaving({"near"}, true);
        CPPUNIT_ASSERT_EQUAL(0, chosenOf100("near"));
        CPPUNIT_ASSERT(!choose({{"near"}}).has_value());
        m_pool->onFailure({"far"}, {leaf_error::Draining, "", 1s, {}}, m_now);
        CPPUNIT_ASSERT(!choose({{"far"}}).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_pool->takeDrainingReports().size());
        configuration document = makeDocument();
        document.servers[2].leavesAt = m_wall + 1h;
        m_pool->configure(document, m_now);
        CPPUNIT_ASSERT(choose({{"south-2"}}).has_value());
        m_wall += 1h;
        CPPUNIT_ASSERT(!choose({{"south-2"}}).has_value());
    }

    /// Guards against health reports that lag and take a working server out of service.
    void staleHealthDoesNotOverrideReplies()
    {
        m_pool->onSent({"near"}, m_now);
        m_pool->onAnswer({"near"}, 5ms, m_now);
        m_pool->onSnapshotsReported({"near"}, desk, first, {{1, 7}}, m_now);
        leaf_health stale;
        stale.draining = true;
        stale.shards = {{desk, first, {{1, 6}}}};
        m_pool->onHealth({"near"}, stale, m_now + 1s);
        CPPUNIT_ASSERT(!m_pool->isLeaving({"near"}, m_wall));
        CPPUNIT_ASSERT(m_pool->snapshotAvailability({"near"}, desk, first, {1, 7})
                       == snapshot_availability::Held);
        m_pool->onHealth({"near"}, stale, m_now + 6s);
        CPPUNIT_ASSERT(m_pool->isLeaving({"near"}, m_wall));
        CPPUNIT_ASSERT(m_pool->snapshotAvailability({"near"}, desk, first, {1, 7})
                       == snapshot_availability::NotHeld);
    }

    /// Guards against searches that are sent where their snapshot is not held.
    void prefersServerKnownToHoldTheSnapshot()
    {
        const snapshot wanted{1, 7};
        m_pool->onSnapshotsReported({"far"}, desk, first, {wanted}, m_now);
        CPPUNIT_ASSERT(choose(pair, wanted) == server_id{"far"});
        m_pool->onSnapshotsReported({"far"}, desk, first, {{1, 8}}, m_now);
        CPPUNIT_ASSERT(choose(pair, wanted) == server_id{"near"});
        m_pool->onSnapshotsReported({"near"}, desk, first, {{1, 8}}, m_now);
        CPPUNIT_ASSERT(!choose(pair, wanted).has_value());
    }

    /// Guards against a choice that grows with the servers: 5 us for a whole event.
    void chooseStaysWithinItsTime()
    {
        configuration document;
        std::vector<server_id> ids;
        for (int i = 0; i < 146; ++i) {
            backend_server server;
            server.id = {"server-" + std::to_string(1000 + i)};
            server.zone = {"north"};
            server.slots = 4;
            document.servers.push_back(server);
            ids.push_back(server.id);
        }
        m_pool->configure(document, m_now);
        const int rounds = 200000;
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < rounds; ++i) {
            const std::vector<server_id> replicas{ids[i % 146], ids[(i + 1) % 146]};
            const auto chosen = choose(replicas, snapshot{1, 1});
            m_pool->onSent(*chosen, m_now);
            m_pool->onAnswer(*chosen, 5ms, m_now);
        }
        const auto each = (std::chrono::steady_clock::now() - begin) / rounds;
        std::cout << " choose, send and answer: " << each.count() << " ns ";
#ifndef __SANITIZE_ADDRESS__
        // The sanitizers slow the code down several times, so the limit holds without them.
        CPPUNIT_ASSERT(each < 5us);
#endif
    }

private:
    std::optional<server_id> choose(const std::vector<server_id> &replicas,
                                    std::optional<snapshot> needed = std::nullopt)
    {
        return m_pool->choose(desk, first, replicas, {}, needed, m_now, m_wall, m_random);
    }

    /// Requests that the server accepts until it is at its limit; they stay in progress.
    int fill(const std::string &name)
    {
        int sent = 0;
        for (; choose({{name}}).has_value(); ++sent)
            m_pool->onSent({name}, m_now);
        return sent;
    }

    /// Brings the limit of the server to `limit`, with nothing in progress.
    void warm(const std::string &name, int limit)
    {
        for (int i = 1; i < limit; ++i) {
            const int sent = fill(name);
            m_pool->onAnswer({name}, 5ms, m_now);
            for (int j = 1; j < sent; ++j)
                m_pool->onAbandoned({name}, m_now);
        }
    }

    void fail(const std::string &name, int times)
    {
        for (int i = 0; i < times; ++i) {
            m_pool->onSent({name}, m_now);
            m_pool->onFailure({name}, {leaf_error::NotConnected, "", 0ms, {}}, m_now);
        }
    }

    int chosenOf100(const std::string &name)
    {
        int count = 0;
        for (int i = 0; i < 100; ++i)
            count += choose(pair) == server_id{name} ? 1 : 0;
        return count;
    }

    std::unique_ptr<backend_pool> m_pool;
    time_point m_now{1h};
    wall_time m_wall{1h};
    random_engine m_random{42};
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_pool_test);

} // namespace waxwing
