#include "relay/leaf_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;
using result_kind = leaf_choice::result_kind;

/// Tests that each question about the servers of a service counts only those in allowed zones. Zone
/// "here" is evacuated.
class leaf_pool_placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaf_pool_placement_test);
    CPPUNIT_TEST(choiceIgnoresOtherZones);
    CPPUNIT_TEST(serviceIsNotServedByOtherZones);
    CPPUNIT_TEST(roomInOtherZonesDoesNotCount);
    CPPUNIT_TEST(waitForOtherZonesDoesNotCount);
    CPPUNIT_TEST(answersOfOtherZonesDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        put("here");
        put("there");
    }

    /// Guards against requests to the nearest server although its zone is not allowed.
    void choiceIgnoresOtherZones()
    {
        const leaf_choice choice = choose();
        CPPUNIT_ASSERT(choice.result == result_kind::Found);
        CPPUNIT_ASSERT_EQUAL(std::string("there"), choice.server->entry().id.value);
        m_pool.choose({"s"}, m_where, {}, 10ms, m_random, m_now).server->onLeaving();
        CPPUNIT_ASSERT(choose().result == result_kind::None);
    }

    /// Guards against requests that are not refused at once because a server elsewhere is usable.
    void serviceIsNotServedByOtherZones()
    {
        CPPUNIT_ASSERT(m_pool.isServed({"s"}, m_where, m_now));
        choose().server->onLeaving();
        CPPUNIT_ASSERT(!m_pool.isServed({"s"}, m_where, m_now));
        CPPUNIT_ASSERT(m_pool.isServed({"s"}, placement::anywhere(), m_now));
    }

    /// Guards against requests that wait for servers which may not take them.
    void roomInOtherZonesDoesNotCount()
    {
        const std::size_t all =
            m_pool.roomUntil({"s"}, placement::anywhere(), 10ms, m_now, m_now + 1s);
        choose().server->onLeaving();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             m_pool.roomUntil({"s"}, m_where, 10ms, m_now, m_now + 1s));
        CPPUNIT_ASSERT(all > 0);
    }

    /// Guards against a `Retry-After` that names the end of the pause of a server elsewhere.
    void waitForOtherZonesDoesNotCount()
    {
        nearest().server->onPauseRequested(m_now + 1s);
        CPPUNIT_ASSERT(!m_pool.usableAt({"s"}, m_where, m_now).has_value());
        CPPUNIT_ASSERT(m_pool.usableAt({"s"}, placement::anywhere(), m_now) == m_now + 1s);
    }

    /// Guards against requests that are not forwarded because a server elsewhere answers.
    void answersOfOtherZonesDoNotCount()
    {
        const auto server = choose().server;
        for (std::uint64_t i = 1; i <= 5; ++i) {
            server->onSent({i}, 10ms, m_now);
            server->onNoResponse({i}, m_now);
        }
        CPPUNIT_ASSERT(m_pool.isCutOff({"s"}, m_where));
        CPPUNIT_ASSERT(!m_pool.isCutOff({"s"}, placement::anywhere()));
    }

private:
    void put(const std::string &zone)
    {
        registered_server entry;
        entry.id = {zone};
        entry.service = {"s"};
        entry.zone = {zone};
        entry.address = {"10.0.0.1", static_cast<std::uint16_t>(2000 + m_pool.size())};
        m_pool.put(entry, m_now);
    }
    leaf_choice choose() { return m_pool.choose({"s"}, m_where, {}, 10ms, m_random, m_now); }
    leaf_choice nearest()
    {
        return m_pool.choose({"s"}, placement::anywhere(), {}, 10ms, m_random, m_now);
    }

    std::map<zone_id, std::string> m_regions{{{"here"}, "a"}, {{"there"}, "a"}};
    random_engine m_random{1};
    leaf_pool m_pool{{}, zone_latencies({"here"}, m_regions)};
    placement m_where{
        std::make_shared<const zone_directory>(m_regions, std::set<zone_id>{{"here"}}), {}, {}};
    time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaf_pool_placement_test);

} // namespace
} // namespace waxwing::relay
