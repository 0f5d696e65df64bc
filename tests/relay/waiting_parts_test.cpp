#include "relay/waiting_parts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class waiting_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_parts_test);
    CPPUNIT_TEST(servesByRankThenByTime);
    CPPUNIT_TEST(countsWhatGoesFirst);
    CPPUNIT_TEST(forgetsPartsThatLeave);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against urgent requests behind others, and against requests that starve although they
    /// are due first.
    void servesByRankThenByTime()
    {
        m_waiting.join(m_desk, m_urgentLate);
        m_waiting.join(m_desk, m_patient);
        m_waiting.join(m_desk, m_urgentSoon);
        CPPUNIT_ASSERT(m_waiting.first(m_desk) == m_urgentSoon);
        m_waiting.leave(m_desk, m_urgentSoon);
        CPPUNIT_ASSERT(m_waiting.first(m_desk) == m_urgentLate);
        m_waiting.leave(m_desk, m_urgentLate);
        CPPUNIT_ASSERT(m_waiting.first(m_desk) == m_patient);
    }

    /// Guards against urgent requests that are refused because of those that they would pass.
    void countsWhatGoesFirst()
    {
        m_waiting.join(m_desk, m_urgentSoon);
        m_waiting.join(m_desk, m_patient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_waiting.ahead(m_desk, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_waiting.ahead(m_desk, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_waiting.ahead({"other"}, 1));
    }

    /// Guards against an entry of a request that has ended, and against queues that are kept for
    /// services that are gone.
    void forgetsPartsThatLeave()
    {
        m_waiting.join(m_desk, m_patient);
        CPPUNIT_ASSERT(!m_waiting.isEmpty(m_desk));
        m_waiting.leave(m_desk, m_urgentSoon);
        m_waiting.leave({"other"}, m_patient);
        CPPUNIT_ASSERT(m_waiting.first(m_desk) == m_patient);
        m_waiting.leave(m_desk, m_patient);
        CPPUNIT_ASSERT(m_waiting.isEmpty(m_desk));
        CPPUNIT_ASSERT(!m_waiting.first(m_desk).has_value());
    }

private:
    const service_id m_desk{"desk"};
    const waiting_part m_urgentSoon{0, time_point(10ms), {3}, 0};
    const waiting_part m_urgentLate{0, time_point(20ms), {1}, 0};
    const waiting_part m_patient{1, time_point(5ms), {2}, 0};
    waiting_parts m_waiting;
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_parts_test);

} // namespace
} // namespace waxwing::relay
