#include "relay/extra_request_budget.h"

#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class extra_request_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(extra_request_budget_test);
    CPPUNIT_TEST(hostsTogetherStayWithinLimitInEveryWindow);
    CPPUNIT_TEST(hedgesLeaveReservedShareForRetries);
    CPPUNIT_TEST(exhaustedBudgetIsAvailableAfterWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hosts that together exceed the limit of a service. Traffic arrives in bursts
    /// and unevenly across hosts, every host requests as many retries as possible, and one host
    /// restarts.
    void hostsTogetherStayWithinLimitInEveryWindow()
    {
        extra_request_budget_settings settings;
        settings.base = 50;
        constexpr std::size_t hosts = 6;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            random_engine random(seed);
            std::vector<extra_request_budget> budgets(hosts, extra_request_budget(settings));
            for (extra_request_budget &each : budgets)
                each.setHosts(hosts);
            std::vector<std::pair<time_point, bool>> events;
            for (time_point now{}; now < time_point{} + 40s; now += 5ms) {
                const bool burst = (now.time_since_epoch() / 7s) % 2 == 0;
                for (std::size_t host = 0; host < hosts; ++host) {
                    if (random(100) < (burst ? 5 * host : host)) {
                        budgets[host].onRequest(now);
                        events.emplace_back(now, false);
                    }
                    if (budgets[host].spend(extra_request_kind::NeededRetry, now))
                        events.emplace_back(now, true);
                }
                if (random(4000) == 0) {
                    budgets[2] = extra_request_budget(settings);
                    budgets[2].setHosts(hosts);
                }
            }
            checkWindows(events, settings);
        }
    }

    /// Guards against hedges that use up the budget, so that failed requests cannot be retried, and
    /// against retries of optional parts that leave nothing for retries that decide about an
    /// answer.
    void hedgesLeaveReservedShareForRetries()
    {
        extra_request_budget_settings settings;
        settings.base = 100;
        extra_request_budget budget(settings);
        const time_point now{};
        std::uint32_t hedges = 0;
        while (budget.spend(extra_request_kind::Hedge, now))
            ++hedges;
        std::uint32_t optionalRetries = 0;
        while (budget.spend(extra_request_kind::OptionalRetry, now))
            ++optionalRetries;
        std::uint32_t neededRetries = 0;
        while (budget.spend(extra_request_kind::NeededRetry, now))
            ++neededRetries;
        CPPUNIT_ASSERT_EQUAL(59U, hedges);
        CPPUNIT_ASSERT_EQUAL(26U, optionalRetries + neededRetries);
        CPPUNIT_ASSERT_EQUAL(13U, neededRetries);
    }

    /// Guards against extra requests that are counted beyond the end of their window.
    void exhaustedBudgetIsAvailableAfterWindow()
    {
        extra_request_budget budget(extra_request_budget_settings{});
        time_point now{};
        while (budget.spend(extra_request_kind::NeededRetry, now)) { }
        CPPUNIT_ASSERT(!budget.spend(extra_request_kind::NeededRetry, now + 9s));
        CPPUNIT_ASSERT(budget.spend(extra_request_kind::NeededRetry, now + 11s));
        CPPUNIT_ASSERT_EQUAL(1U, budget.spent(now + 11s));
    }

private:
    static void checkWindows(const std::vector<std::pair<time_point, bool>> &events,
                             const extra_request_budget_settings &settings)
    {
        for (time_point from{}; from < time_point{} + 30s; from += 100ms) {
            double requests = 0;
            double extras = 0;
            for (const auto &[at, isExtra] : events) {
                if (at >= from && at < from + settings.window)
                    (isExtra ? extras : requests) += 1;
            }
            CPPUNIT_ASSERT(extras <= settings.share * requests + settings.base);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(extra_request_budget_test);

} // namespace
} // namespace waxwing::relay
