#include "ctl/host_report.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class host_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_report_test);
    CPPUNIT_TEST(readsStatus);
    CPPUNIT_TEST(claimsForceOnlyWhereKnown);
    CPPUNIT_TEST_SUITE_END();

    const endpoint m_address{"127.0.0.1", 9000};

    host_report running(const std::string &host, std::uint64_t revision,
                        const std::string &digest = "d") const
    {
        return {m_address, "", host, "a", revision, digest, {}};
    }

public:
    /// Guards against a tool that ends, or shows zeros, on an answer of another version.
    void readsStatus()
    {
        const auto status = readHostReport(
            m_address, R"({"host":"h1","zone":"a","new":1,"configuration":{"revision":7,
            "digest":"ab"},"members":[{"host":"h2","zone":"b","state":"alive",
            "configuration_revision":6},5]})");
        const host_report expected{m_address, "", "h1", "a", 7, "ab", {{"h2", "b", "alive", 6}}};
        CPPUNIT_ASSERT(expected == status);
        CPPUNIT_ASSERT(readHostReport(m_address, R"({"host":"h1"})").problem.empty());
        for (const char *body : {"", "[]", "{}", R"({"host":5})"})
            CPPUNIT_ASSERT(!readHostReport(m_address, body).problem.empty());
    }

    /// Guards against a change that is called in force while a host is unreachable, behind, was
    /// not asked or runs another document of the same revision.
    void claimsForceOnlyWhereKnown()
    {
        CPPUNIT_ASSERT(summarizeForce({running("h1", 7), running("h2", 7)}, 7).everywhere);
        CPPUNIT_ASSERT(!summarizeForce({}, 7).everywhere);
        CPPUNIT_ASSERT(!summarizeForce({running("h1", 7), running("h2", 6)}, 7).everywhere);
        CPPUNIT_ASSERT(!summarizeForce({running("h1", 7), running("h2", 7, "e")}, 7).everywhere);
        auto lost = running("", 0);
        lost.problem = "timeout";
        const auto summary = summarizeForce({running("h1", 7), lost}, 7);
        CPPUNIT_ASSERT(!summary.everywhere);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9000: not reached (timeout)"),
                             summary.lines.front());
        auto informed = running("h1", 7);
        informed.members = {{"h2", "b", "alive", 7}, {"h3", "b", "dead", 5}};
        const auto unasked = summarizeForce({informed}, 7);
        CPPUNIT_ASSERT(!unasked.everywhere && unasked.lines.size() == 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_report_test);

} // namespace waxwing
