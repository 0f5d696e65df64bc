#include "configuration/example_document.h"
#include "core/hash.h"
#include "ctl/ctl_commands.h"
#include "standins/platform_standin.h"
#include "standins/standin_fixture.h"

#include <absl/strings/str_replace.h>

#include <sstream>

namespace waxwing {

class ctl_commands_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ctl_commands_test);
    CPPUNIT_TEST(appliesAndShows);
    CPPUNIT_TEST(drainsServer);
    CPPUNIT_TEST(refusesFileOfOlderRevision);
    CPPUNIT_TEST(reportsOutage);
    CPPUNIT_TEST(survivesLostAnswers);
    CPPUNIT_TEST(claimsForceOnlyWhereKnown);
    CPPUNIT_TEST(restoresNewestOfHosts);
    CPPUNIT_TEST(restoresOnlyWhatHostsRun);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    standins::manual_clock m_clock;
    std::unique_ptr<standins::platform_standin> m_platform;
    std::unique_ptr<standins::blocking_client> m_client;
    std::unique_ptr<http::server> m_host;
    std::string m_hostText;
    bool m_sendsDocument = true;
    ctl_settings m_settings;
    std::ostringstream m_out;
    std::ostringstream m_errors;

    ctl_commands commands() { return {m_loop.base(), m_settings, m_out, m_errors}; }

    void assertCode(exit_code expected, exit_code found)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(m_out.str() + m_errors.str(), static_cast<int>(expected),
                                     static_cast<int>(found));
    }

    void assertText(const std::ostringstream &stream, const std::string &part)
    {
        CPPUNIT_ASSERT_MESSAGE(stream.str(), stream.str().find(part) != std::string::npos);
    }

    void setFaults(const nlohmann::json &change)
    {
        m_client->postJson(m_platform->localEndpoint(), "/faults", change);
    }

    nlohmann::json current()
    {
        return m_client->getJson(m_platform->localEndpoint(),
                                 "/objects/configuration/current")["value"];
    }

    /// Entry host that runs the configuration `m_hostText`.
    void startHost()
    {
        const auto answer = [this](const http::request &message, http::responder to) {
            const auto document = nlohmann::json::parse(m_hostText);
            const nlohmann::json status{{"host", "h1"},
                                        {"zone", "a"},
                                        {"configuration",
                                         {{"revision", document["revision"]},
                                          {"digest", formatDigest(stableHash(m_hostText))}}}};
            if (message.path == "/v1/status")
                to.respond(http::jsonResponse(200, status.dump()));
            else
                to.respond(http::jsonResponse(m_sendsDocument ? 200 : 404, m_hostText));
        };
        m_host = http::server::create(m_loop.base(), {}, answer).value();
        m_settings.hosts.hosts = {m_host->localEndpoint()};
    }

public:
    void setUp() override
    {
        m_platform = standins::platform_standin::create(m_loop.base(), m_clock, {}).value();
        m_client = std::make_unique<standins::blocking_client>(m_loop);
        m_settings = {};
        m_settings.platform.platform = m_platform->localEndpoint();
        m_settings.submissions.pause = std::chrono::milliseconds(1);
        m_settings.changedBy = "anna";
        m_settings.reason = "test";
        assertCode(exit_code::Ok, commands().apply(smallDocument().dump()));
    }
    void tearDown() override
    {
        m_client.reset();
        m_host.reset();
        m_platform.reset();
    }

    /// Guards against a document that cannot be edited and sent back as it was shown.
    void appliesAndShows()
    {
        m_out.str("");
        assertCode(exit_code::Ok, commands().show(std::nullopt));
        auto document = nlohmann::json::parse(m_out.str());
        CPPUNIT_ASSERT(document["revision"] == 1 && document["changed_by"] == "anna");
        document["services"][0]["policy"]["deadline_ms"] = 300;
        assertCode(exit_code::Ok, commands().apply(document.dump(2)));
        CPPUNIT_ASSERT(current()["revision"] == 2);
        assertCode(exit_code::Ok, commands().show(1));
        assertCode(exit_code::Refused, commands().show(9));
        document["zones"] = nlohmann::json::array();
        assertCode(exit_code::Refused, commands().check(document.dump()));
        assertText(m_errors, "/zones: Array should contain no fewer than 1");
        m_settings.reason = "";
        assertCode(exit_code::Usage, commands().apply(document.dump()));
    }

    /// Guards against a departure that takes the last replica without permission.
    void drainsServer()
    {
        assertCode(exit_code::Usage, commands().drain("s1", "tomorrow"));
        assertCode(exit_code::Refused, commands().drain("s9", "2027-05-01T00:00:00Z"));
        assertCode(exit_code::Ok, commands().drain("s1", "2027-05-01T00:00:00Z"));
        assertText(m_out, "/backend_servers/s1/leaves_at: (none) -> \"2027-05-01T00:00:00Z\"");
        assertCode(exit_code::Refused, commands().drain("s2", "2027-05-01T00:00:00Z"));
        assertText(m_errors, "allow_uncovered permits this");
        m_settings.allowUncovered = true;
        assertCode(exit_code::Ok, commands().drain("s2", "2027-05-01T00:00:00Z"));
        CPPUNIT_ASSERT(current()["allow_uncovered"] == true);
    }

    /// Guards against a file that undoes what another operator changed after it was written.
    void refusesFileOfOlderRevision()
    {
        auto file = current();
        assertCode(exit_code::Ok, commands().drain("s1", "2027-05-01T00:00:00Z"));
        file["services"][0]["policy"]["deadline_ms"] = 300;
        assertCode(exit_code::Refused, commands().apply(file.dump()));
        assertText(m_errors, "/backend_servers/s1/leaves_at: (none) -> ");
        CPPUNIT_ASSERT(current()["revision"] == 2);
    }

    /// Guards against a tool that hangs or reports success in an outage of the platform.
    void reportsOutage()
    {
        setFaults({{"outage", true}});
        assertCode(exit_code::Unreachable, commands().show(std::nullopt));
        assertCode(exit_code::Unreachable, commands().drain("s1", "2027-05-01T00:00:00Z"));
        startHost();
        m_hostText = smallDocument().dump();
        assertCode(exit_code::Unreachable, commands().status());
        assertText(m_errors, "nothing is called in force");
    }

    /// Guards against a change that is applied twice over the real protocol.
    void survivesLostAnswers()
    {
        setFaults({{"lose_answers", 2}});
        assertCode(exit_code::Ok, commands().drain("s1", "2027-05-01T00:00:00Z"));
        CPPUNIT_ASSERT(current()["revision"] == 2);
    }

    /// Guards against a change called in force that a host has not adopted.
    void claimsForceOnlyWhereKnown()
    {
        startHost();
        m_hostText = current().dump();
        assertCode(exit_code::Ok, commands().status());
        assertText(m_out, "revision 1 is in force on all 1 entry hosts");
        assertCode(exit_code::Ok, commands().drain("s1", "2027-05-01T00:00:00Z"));
        assertCode(exit_code::Refused, commands().status());
        assertText(m_out, "runs revision 1 instead of 2");
        m_host.reset();
        assertCode(exit_code::Refused, commands().status());
        assertText(m_out, "not reached");
    }

    /// Guards against changes built on an old copy that the platform was restored from.
    void restoresNewestOfHosts()
    {
        assertCode(exit_code::Ok, commands().drain("s1", "2027-05-01T00:00:00Z"));
        startHost();
        m_hostText = current().dump();
        setFaults({{"restore_version",
                    {{"kind", "configuration"}, {"name", "current"}, {"version", 1}}}});
        CPPUNIT_ASSERT(current()["revision"] == 1);
        assertCode(exit_code::Refused, commands().drain("s3", "2027-05-01T00:00:00Z"));
        assertText(m_errors, "run 'waxwingctl restore' first");
        assertCode(exit_code::Ok, commands().restore());
        CPPUNIT_ASSERT_EQUAL(m_hostText, current().dump());
        assertCode(exit_code::Ok, commands().drain("s3", "2027-05-01T00:00:00Z"));
    }

    /// Guards against a restore that sends another document than the hosts run, when only the
    /// history of the platform has one of that revision.
    void restoresOnlyWhatHostsRun()
    {
        assertCode(exit_code::Ok, commands().drain("s1", "2027-05-01T00:00:00Z"));
        startHost();
        m_hostText = current().dump();
        m_sendsDocument = false;
        setFaults({{"restore_version",
                    {{"kind", "configuration"}, {"name", "current"}, {"version", 1}}}});
        const auto running =
            std::exchange(m_hostText, absl::StrReplaceAll(m_hostText, {{"\"test\"", "\"other\""}}));
        assertCode(exit_code::Refused, commands().restore());
        CPPUNIT_ASSERT(current()["revision"] == 1);
        m_hostText = running;
        assertCode(exit_code::Ok, commands().restore());
        CPPUNIT_ASSERT_EQUAL(running, current().dump());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ctl_commands_test);

} // namespace waxwing
