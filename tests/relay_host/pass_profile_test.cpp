#include "relay_host/pass_profile.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class pass_profile_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pass_profile_test);
    CPPUNIT_TEST(logsALongPassWithItsLongestWork);
    CPPUNIT_TEST(startsEachPassAnew);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a host that is busy without a trace of the cause.
    void logsALongPassWithItsLongestWork()
    {
        m_profile.add("decode", 210ms);
        m_profile.add("answer", 40ms);
        const auto line = m_profile.finish(260ms, 7);
        CPPUNIT_ASSERT(line.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("event loop was busy"), line->message);
        const std::vector<std::pair<std::string, std::string>> expected = {
            {"busy_ms", "260"},
            {"events", "7"},
            {"longest_work", "decode"},
            {"longest_work_ms", "210"}};
        CPPUNIT_ASSERT(line->fields == expected);
    }

    /// Guards against work of an earlier pass that is named as the cause of a later one.
    void startsEachPassAnew()
    {
        m_profile.add("decode", 60ms);
        CPPUNIT_ASSERT(!m_profile.finish(70ms, 7).has_value());
        const auto line = m_profile.finish(150ms, 9);
        CPPUNIT_ASSERT(line.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), line->fields.at(1).second);
        CPPUNIT_ASSERT_EQUAL(std::string(), line->fields.at(2).second);
    }

private:
    pass_profile m_profile;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pass_profile_test);

} // namespace
} // namespace waxwing::relay
