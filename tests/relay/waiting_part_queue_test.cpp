#include "relay/waiting_part_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class waiting_part_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_part_queue_test);
    CPPUNIT_TEST(servesByRankThenByTime);
    CPPUNIT_TEST(countsWhatGoesFirst);
    CPPUNIT_TEST(forgetsPartsThatLeave);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against urgent requests behind others, and against requests that starve although they
    /// are due first.
    void servesByRankThenByTime()
    {
        m_waiting.add(m_service, m_urgentLate);
        m_waiting.add(m_service, m_patient);
        m_waiting.add(m_service, m_urgentSoon);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_urgentSoon);
        m_waiting.remove(m_service, m_urgentSoon);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_urgentLate);
        m_waiting.remove(m_service, m_urgentLate);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_patient);
    }

    /// Guards against urgent requests that are refused because of those that they would pass.
    void countsWhatGoesFirst()
    {
        m_waiting.add(m_service, m_urgentSoon);
        m_waiting.add(m_service, m_patient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_waiting.countAhead(m_service, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_waiting.countAhead(m_service, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_waiting.countAhead({"other"}, 1));
    }

    /// Guards against an entry of a request that has ended, and against queues that are kept for
    /// services that are gone.
    void forgetsPartsThatLeave()
    {
        m_waiting.add(m_service, m_patient);
        CPPUNIT_ASSERT(!m_waiting.isEmpty(m_service));
        m_waiting.remove(m_service, m_urgentSoon);
        m_waiting.remove({"other"}, m_patient);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_patient);
        m_waiting.remove(m_service, m_patient);
        CPPUNIT_ASSERT(m_waiting.isEmpty(m_service));
        CPPUNIT_ASSERT(!m_waiting.first(m_service).has_value());
    }

private:
    const service_id m_service{"desk"};
    const waiting_part m_urgentSoon{0, time_point(10ms), {3}, 0};
    const waiting_part m_urgentLate{0, time_point(20ms), {1}, 0};
    const waiting_part m_patient{1, time_point(5ms), {2}, 0};
    waiting_part_queue m_waiting;
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_part_queue_test);

} // namespace
} // namespace waxwing::relay
