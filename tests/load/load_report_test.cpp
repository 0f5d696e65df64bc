#include "load/load_report.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class load_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_report_test);
    CPPUNIT_TEST(quantilesAreObservedLatencies);
    CPPUNIT_TEST(partialAnswersAreNotPerfect);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a p99 that leaves out the slowest answers of a small run.
    void quantilesAreObservedLatencies()
    {
        load_report report;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, std::int64_t{report.latencyQuantile(0.99).count()});
        for (int i = 1; i <= 100; ++i)
            report.latencies.push_back(std::chrono::microseconds(i));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, std::int64_t{report.latencyQuantile(0.5).count()});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{99}, std::int64_t{report.latencyQuantile(0.99).count()});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, std::int64_t{report.latencyQuantile(1).count()});
    }

    /// Guards against a demo that ends with success although an answer left documents out.
    void partialAnswersAreNotPerfect()
    {
        load_report report;
        report.searches = report.answered = 10;
        CPPUNIT_ASSERT(report.isPerfect());
        report.partial = 1;
        CPPUNIT_ASSERT(!report.isPerfect());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_report_test);

} // namespace waxwing
