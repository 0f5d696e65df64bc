#include "admission/admission_control.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

using namespace std::chrono_literals;

class admission_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_control_test);
    CPPUNIT_TEST(searchesThatWouldMissTheirDeadlineAreRefused);
    CPPUNIT_TEST(busyServiceIsSharedBetweenCallers);
    CPPUNIT_TEST(searchesOfAllServicesAreBoundedTogether);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against admitting searches that would miss their deadline.
    void searchesThatWouldMissTheirDeadlineAreRefused()
    {
        admission_control control({});
        // 40 concurrent searches that take 400 ms cost 10 ms each, so 80 fit into 0.8 of 1 s.
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(!control.admit(m_service, "", 1s).has_value());
        for (int i = 0; i < 1000; ++i) {
            control.release(m_service, "", 400ms);
            CPPUNIT_ASSERT(!control.admit(m_service, "", 1s).has_value());
        }
        int more = 0;
        while (!control.admit(m_service, "", 1s).has_value())
            ++more;
        CPPUNIT_ASSERT(more >= 39 && more <= 41);
        const auto refused = control.admit(m_service, "", 1s);
        CPPUNIT_ASSERT(!refused->callerOverShare && refused->retryAfter >= 1s);
        CPPUNIT_ASSERT_MESSAGE("a longer deadline admits more searches",
                               !control.admit(m_service, "", 2s).has_value());
        CPPUNIT_ASSERT_MESSAGE("other services are not affected",
                               !control.admit({"other"}, "", 1s).has_value());
    }

    /// Guards against one caller using the whole capacity of a service, so that others are refused.
    void busyServiceIsSharedBetweenCallers()
    {
        admission_settings settings;
        settings.maxInProgress = 100;
        admission_control control(settings);
        CPPUNIT_ASSERT(!control.admit(m_service, "small", 1s).has_value());
        int large = 0;
        std::optional<admission_refusal> refused;
        while (!(refused = control.admit(m_service, "large", 1s)).has_value())
            ++large;
        CPPUNIT_ASSERT(refused->callerOverShare);
        CPPUNIT_ASSERT_EQUAL(50, large);
        CPPUNIT_ASSERT(!control.admit(m_service, "small", 1s).has_value());
        CPPUNIT_ASSERT(!control.admit(m_service, "third", 1s).has_value());
    }

    /// Guards against unbounded memory: without a common limit, searches in progress of many
    /// services add up.
    void searchesOfAllServicesAreBoundedTogether()
    {
        admission_settings settings;
        settings.maxInProgress = 3;
        admission_control control(settings);
        for (const char *name : {"a", "b", "c"})
            CPPUNIT_ASSERT(!control.admit({name}, "", 1s).has_value());
        CPPUNIT_ASSERT(control.admit({"d"}, "", 1s).has_value());
        control.release({"a"}, "", std::nullopt);
        CPPUNIT_ASSERT(!control.admit({"d"}, "", 1s).has_value());
    }

private:
    service_id m_service{"desk"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_control_test);

} // namespace waxwing
