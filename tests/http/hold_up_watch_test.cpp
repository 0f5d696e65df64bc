#include "http/hold_up_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace waxwing::http {
namespace {

using namespace std::chrono_literals;

class hold_up_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hold_up_watch_test);
    CPPUNIT_TEST(staysAtZeroWhileBeatsCome);
    CPPUNIT_TEST(measuresAHoldUpBeforeAndAfterItsBeat);
    CPPUNIT_TEST(takesHoldUpsThatFollowEachOtherAsOne);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that lose time to scheduling delays.
    void staysAtZeroWhileBeatsCome()
    {
        for (auto at = 250ms; at < 2s; at += 280ms) {
            CPPUNIT_ASSERT(m_watch.delay(m_start + at) == 0ms);
            m_watch.onBeat(m_start + at);
            CPPUNIT_ASSERT(m_watch.delay(m_start + at + 200ms) == 0ms);
        }
    }

    /// Guards against a delay that depends on whether the beat or a socket is handled first, and
    /// against one that later requests get too.
    void measuresAHoldUpBeforeAndAfterItsBeat()
    {
        CPPUNIT_ASSERT(m_watch.delay(m_start + 600ms) == 350ms);
        m_watch.onBeat(m_start + 600ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 600ms) == 350ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 610ms) == 360ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 620ms) == 0ms);
    }

    /// Guards against the loss of one interval with each of several hold-ups in a row.
    void takesHoldUpsThatFollowEachOtherAsOne()
    {
        m_watch.onBeat(m_start + 600ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 1000ms) == 750ms);
        m_watch.onBeat(m_start + 1000ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 1400ms) == 1150ms);
        m_watch.onBeat(m_start + 1400ms);
        m_watch.onBeat(m_start + 1650ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 1650ms) == 0ms);
        CPPUNIT_ASSERT(m_watch.delay(m_start + 2000ms) == 100ms);
    }

private:
    const time_point m_start{1h};
    hold_up_watch m_watch{m_start};
};

CPPUNIT_TEST_SUITE_REGISTRATION(hold_up_watch_test);

} // namespace
} // namespace waxwing::http
