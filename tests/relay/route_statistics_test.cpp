#include "relay/route_statistics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class route_statistics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_statistics_test);
    CPPUNIT_TEST(requestsFollowWeightsOfServices);
    CPPUNIT_TEST(resentRequestCountsTimeSinceFirstTry);
    CPPUNIT_TEST(processingTimeFollowsGoalUntilSamplesArrive);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against services whose share of requests deviates from their weight.
    void requestsFollowWeightsOfServices()
    {
        route target;
        target.targets = {{{"none"}, 0}, {{"few"}, 1}, {{"many"}, 3.5}};
        route_statistics statistics(target);
        std::map<service_id, int> counts;
        for (int i = 0; i < 450; ++i)
            ++counts[statistics.nextTarget(target)];
        CPPUNIT_ASSERT_EQUAL(0, counts[{"none"}]);
        CPPUNIT_ASSERT_EQUAL(100, counts[{"few"}]);
        CPPUNIT_ASSERT_EQUAL(350, counts[{"many"}]);
        // The balance restarts when the services of the route change.
        target.targets = {{{"other"}, 1}};
        statistics.configure(target);
        CPPUNIT_ASSERT(service_id{"other"} == statistics.nextTarget(target));
    }

    /// Guards against a full latency goal for a request that has already waited on another host.
    void resentRequestCountsTimeSinceFirstTry()
    {
        route_statistics statistics(route{});
        CPPUNIT_ASSERT(statistics.timeSinceFirstTry(800ms) == 0ms);
        CPPUNIT_ASSERT(statistics.timeSinceFirstTry(650ms) == 150ms);
        CPPUNIT_ASSERT(statistics.timeSinceFirstTry(800ms) == 0ms);
    }

    /// Guards against an estimate of zero without samples, and against a median that stays at its
    /// initial value after samples arrived.
    void processingTimeFollowsGoalUntilSamplesArrive()
    {
        processing_time_estimate estimate(100ms);
        CPPUNIT_ASSERT(estimate.typical() == 10ms);
        CPPUNIT_ASSERT(estimate.upperQuantile() >= 33ms);
        time_point now{};
        for (int i = 0; i < 2000; ++i) {
            now += 10ms;
            estimate.add(i % 20 == 0 ? 60ms : 4ms, now);
        }
        CPPUNIT_ASSERT(estimate.typical() < 6ms);
        CPPUNIT_ASSERT(estimate.upperQuantile() < 61ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_statistics_test);

} // namespace
} // namespace waxwing::relay
