#include "core/trace_context.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class trace_context_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(trace_context_test);
    CPPUNIT_TEST(roundTripsHeader);
    CPPUNIT_TEST(rejectsMalformedHeaders);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against spans that lose their trace between two hops.
    void roundTripsHeader()
    {
        const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        const auto parsed = trace_context::parse(header);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(parsed->sampled);
        CPPUNIT_ASSERT_EQUAL(header, parsed->toHeader());
    }

    /// Guards against malformed headers of callers that end up in our own traces.
    void rejectsMalformedHeaders()
    {
        for (const char *header : {
                 "",
                 "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
                 "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                 "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                 "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                 "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                 "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01",
             })
            CPPUNIT_ASSERT(!trace_context::parse(header).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_context_test);

} // namespace waxwing
