#include "coordinators/coordinator_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

class coordinator_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_directory_test);
    CPPUNIT_TEST(coordinatorThatTakesNothingIsAvoidedLongerEachTime);
    CPPUNIT_TEST(failuresOfRequestsInProgressCountOnce);
    CPPUNIT_TEST(requestsAreRepeatedOnceInAnInterval);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::vector<member> hosts;
        for (int i = 0; i < 30; ++i) {
            member each;
            each.host = {"host-" + std::to_string(i)};
            each.zone = {"z"};
            each.linkMbps = i == 0 ? 100 : 10;
            hosts.push_back(each);
        }
        m_directory.update(coordinator_set::choose({.minRelativeLink = 0.01}, hosts, {}, 24));
    }

    /// Guards against a lost coordinator that costs a request every time it is tried again.
    void coordinatorThatTakesNothingIsAvoidedLongerEachTime()
    {
        m_directory.onNotTaken(m_host, m_now);
        CPPUNIT_ASSERT(!isPicked());
        m_now += 1500ms;
        CPPUNIT_ASSERT(isPicked());
        m_directory.onNotTaken(m_host, m_now);
        m_now += 2900ms;
        CPPUNIT_ASSERT(!isPicked());
        m_now += 200ms;
        CPPUNIT_ASSERT(isPicked());
        m_directory.onTaken(m_host);
        m_directory.onNotTaken(m_host, m_now);
        m_now += 1500ms;
        CPPUNIT_ASSERT(isPicked());
    }

    /// Guards against a coordinator that is avoided for long because several requests were lost at
    /// the same moment.
    void failuresOfRequestsInProgressCountOnce()
    {
        for (int i = 0; i < 5; ++i)
            m_directory.onNotTaken(m_host, m_now);
        m_now += 1500ms;
        CPPUNIT_ASSERT(isPicked());
    }

    /// Guards against slow coordinators whose requests are all sent to the servers twice.
    void requestsAreRepeatedOnceInAnInterval()
    {
        CPPUNIT_ASSERT(m_directory.mayRepeat(m_now));
        CPPUNIT_ASSERT(!m_directory.mayRepeat(m_now + 9s));
        CPPUNIT_ASSERT(m_directory.mayRepeat(m_now + 10s));
    }

private:
    /// Whether the fastest coordinator is among those that are picked.
    bool isPicked()
    {
        const auto isOther = [this](const host_id &host) { return host != m_host; };
        return m_directory.pick({"z"}, {}, isOther, m_random, m_now).has_value();
    }

    coordinator_directory m_directory{{}, 10s};
    host_id m_host{"host-0"};
    random_engine m_random{1};
    time_point m_now = time_point{} + 1h;
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_directory_test);

} // namespace
} // namespace waxwing
