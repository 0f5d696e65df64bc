#include "loop/loop_clock.h"

#include "support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

class loop_clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(loop_clock_test);
    CPPUNIT_TEST(knowsNoWaitBeforeTheFirstPass);
    CPPUNIT_TEST(countsCallbacksBeforeTheReadInTheSamePass);
    CPPUNIT_TEST(countsTheWholePassBeforeTheRead);
    CPPUNIT_TEST(countsEachOfSeveralLongPassesOnce);
    CPPUNIT_TEST(doesNotCountTimeWithoutEvents);
    CPPUNIT_TEST(waitsForEventsAfterShortPasses);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that lose all their time on a loop that reports no passes.
    void knowsNoWaitBeforeTheFirstPass()
    {
        m_loop.now();
        m_time.at += 600ms;
        CPPUNIT_ASSERT(m_loop.longestWait(m_loop.now()) == 0ms);
    }

    /// Guards against time that is lost to a callback that runs before the read.
    void countsCallbacksBeforeTheReadInTheSamePass()
    {
        m_loop.beginPass();
        m_loop.now();
        m_time.at += 240ms;
        CPPUNIT_ASSERT(m_loop.longestWait(m_loop.now()) == 240ms);
    }

    /// Guards against a blind spot for hold-ups that are shorter than an interval of a timer.
    void countsTheWholePassBeforeTheRead()
    {
        m_loop.beginPass();
        m_loop.now();
        m_time.at += 240ms;
        m_loop.beginPass();
        CPPUNIT_ASSERT(m_loop.pollsOnly());
        CPPUNIT_ASSERT(m_loop.lastPassTime() == 240ms);
        m_time.at += 30ms;
        CPPUNIT_ASSERT(m_loop.longestWait(m_loop.now()) == 270ms);
    }

    /// Guards against requests that lose more time than they can have waited: bytes that were there
    /// before the second pass were read in it.
    void countsEachOfSeveralLongPassesOnce()
    {
        for (int pass = 0; pass < 3; ++pass) {
            m_loop.beginPass();
            m_loop.now();
            m_time.at += 300ms;
        }
        m_loop.beginPass();
        CPPUNIT_ASSERT(m_loop.longestWait(m_loop.now()) == 300ms);
    }

    /// Guards against a wait that grows while there is nothing to read.
    void doesNotCountTimeWithoutEvents()
    {
        m_loop.beginPass();
        m_loop.now();
        m_time.at += 300ms;
        m_loop.beginPass();
        m_loop.beginPass();
        CPPUNIT_ASSERT(!m_loop.pollsOnly());
        m_time.at += 5s;
        CPPUNIT_ASSERT(m_loop.longestWait(m_loop.now()) == 0ms);
    }

    /// Guards against a further system call in each pass.
    void waitsForEventsAfterShortPasses()
    {
        m_loop.beginPass();
        m_loop.now();
        m_time.at += 2ms;
        m_loop.beginPass();
        CPPUNIT_ASSERT(!m_loop.pollsOnly());
        CPPUNIT_ASSERT(m_loop.longestWait(m_loop.now()) == 0ms);
    }

private:
    manual_clock m_time;
    loop_clock m_loop{m_time};
};

CPPUNIT_TEST_SUITE_REGISTRATION(loop_clock_test);

} // namespace
} // namespace waxwing
