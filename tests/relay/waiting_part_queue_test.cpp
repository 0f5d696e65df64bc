#include "relay/waiting_part_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class waiting_part_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_part_queue_test);
    CPPUNIT_TEST(partsAreOrderedByRankThenDeadline);
    CPPUNIT_TEST(countAheadExcludesHigherRanks);
    CPPUNIT_TEST(removedPartIsNotReturned);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests of a low rank that wait behind those of a higher one, and against
    /// requests that starve although their deadline is the earliest.
    void partsAreOrderedByRankThenDeadline()
    {
        m_waiting.add(m_service, m_lowRankLate);
        m_waiting.add(m_service, m_highRank);
        m_waiting.add(m_service, m_lowRankEarly);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_lowRankEarly);
        m_waiting.remove(m_service, m_lowRankEarly);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_lowRankLate);
        m_waiting.remove(m_service, m_lowRankLate);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_highRank);
    }

    /// Guards against refusing requests because of waiting ones of a higher rank, which are served
    /// after them.
    void countAheadExcludesHigherRanks()
    {
        m_waiting.add(m_service, m_lowRankEarly);
        m_waiting.add(m_service, m_highRank);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_waiting.countAhead(m_service, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_waiting.countAhead(m_service, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_waiting.countAhead({"other"}, 1));
    }

    /// Guards against queue entries of requests that have ended, and against empty queues that are
    /// kept for services.
    void removedPartIsNotReturned()
    {
        m_waiting.add(m_service, m_highRank);
        CPPUNIT_ASSERT(!m_waiting.isEmpty(m_service));
        m_waiting.remove(m_service, m_lowRankEarly);
        m_waiting.remove({"other"}, m_highRank);
        CPPUNIT_ASSERT(m_waiting.first(m_service) == m_highRank);
        m_waiting.remove(m_service, m_highRank);
        CPPUNIT_ASSERT(m_waiting.isEmpty(m_service));
        CPPUNIT_ASSERT(!m_waiting.first(m_service).has_value());
    }

private:
    const service_id m_service{"desk"};
    const waiting_part m_lowRankEarly{0, time_point(10ms), {3}, 0};
    const waiting_part m_lowRankLate{0, time_point(20ms), {1}, 0};
    const waiting_part m_highRank{1, time_point(5ms), {2}, 0};
    waiting_part_queue m_waiting;
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_part_queue_test);

} // namespace
} // namespace waxwing::relay
