#include "relay/hedge_rate_limit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class hedge_rate_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedge_rate_limit_test);
    CPPUNIT_TEST(surgeDoesNotMultiplyRequests);
    CPPUNIT_TEST(pausesOfServersAreHedged);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hedges that fill servers which are all slow because of load: half of 1,500
    /// requests a second is late for 4 s.
    void surgeDoesNotMultiplyRequests() { CPPUNIT_ASSERT(hedgesOf(6000, 2) <= 6000 * 0.27); }

    /// Guards against a limit that prevents the hedges which hide pauses: each server pauses for a
    /// twenty-fifth of the time.
    void pausesOfServersAreHedged() { CPPUNIT_ASSERT_EQUAL(240, hedgesOf(6000, 25)); }

private:
    /// Number of hedges for `requests` in 4 s of which each `every`th is late.
    static int hedgesOf(int requests, int every)
    {
        hedge_rate_limit limit({});
        time_point now = time_point{} + 1h;
        int hedges = 0;
        for (int i = 0; i < requests; ++i) {
            now += std::chrono::microseconds(4000000 / requests);
            limit.onSent(now);
            if (i % every != 0 || !limit.isAvailable(now))
                continue;
            limit.onSent(now);
            limit.onHedge(now);
            ++hedges;
        }
        return hedges;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedge_rate_limit_test);

} // namespace
} // namespace waxwing::relay
