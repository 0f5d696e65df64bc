#include "configuration/example_document.h"
#include "console/console_pages.h"
#include "standins/platform_standin.h"
#include "standins/standin_fixture.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>

namespace waxwing {

class console_pages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(console_pages_test);
    CPPUNIT_TEST(asksForCredential);
    CPPUNIT_TEST(changesServiceAfterPreview);
    CPPUNIT_TEST(keepsWhatWasTyped);
    CPPUNIT_TEST(refusesForgedForms);
    CPPUNIT_TEST(tellsLoserOfRaceWhatChanged);
    CPPUNIT_TEST(findsOutAboutLostAnswers);
    CPPUNIT_TEST(showsOutage);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    standins::manual_clock m_clock;
    std::unique_ptr<standins::platform_standin> m_platform;
    std::unique_ptr<standins::blocking_client> m_client;
    std::unique_ptr<console_pages> m_pages;
    std::unique_ptr<http::server> m_server;
    std::string m_credential = "anna:pw";

    http::response call(const std::string &method, const std::string &path, int status,
                        const http::header_list &query = {}, const std::string &body = {})
    {
        http::request message{method, path, query, {}, body};
        message.headers.emplace_back("Authorization", "Basic " + absl::Base64Escape(m_credential));
        auto answer = m_client->get(m_server->localEndpoint(), message);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, status, answer.status);
        return answer;
    }

    std::string get(const std::string &path, const http::header_list &query = {})
    {
        return call("GET", path, 200, query).body;
    }

    std::string post(const std::string &path, const form_values &values, int status)
    {
        std::string body;
        for (const auto &[name, value] : values) {
            body += "&" + name + "=";
            for (const unsigned char c : value)
                body += "%" + absl::BytesToHexString(std::string(1, static_cast<char>(c)));
        }
        return call("POST", path, status, {}, body).body;
    }

    /// Values of the inputs of a page, as a browser would send them back.
    static form_values inputsOf(const std::string &page)
    {
        form_values result;
        const std::string nameMark = "name=\"";
        const std::string valueMark = "value=\"";
        for (auto at = page.find("<input"); at != std::string::npos;
             at = page.find("<input", at + 1)) {
            const auto name = page.find(nameMark, at) + nameMark.size();
            const auto value = page.find(valueMark, at) + valueMark.size();
            if (page.substr(at, 30).find("checkbox") != std::string::npos)
                continue;
            result[page.substr(name, page.find('"', name) - name)] = absl::StrReplaceAll(
                page.substr(value, page.find('"', value) - value),
                {{"&lt;", "<"}, {"&gt;", ">"}, {"&quot;", "\""}, {"&#39;", "'"}, {"&amp;", "&"}});
        }
        return result;
    }

    form_values openDeparture(const std::string &server)
    {
        auto values = inputsOf(get("/departure", {{"id", server}}));
        values["leaves_at"] = "2027-05-01T00:00:00Z";
        values["reason"] = "rack <7> & \"others\"";
        return values;
    }

    void assertText(const std::string &page, const std::string &part)
    {
        CPPUNIT_ASSERT_MESSAGE("expected " + part + " in " + page,
                               page.find(part) != std::string::npos);
    }

    nlohmann::json current()
    {
        return m_client->getJson(m_platform->localEndpoint(),
                                 "/objects/configuration/current")["value"];
    }

    void setFaults(const nlohmann::json &change)
    {
        m_client->postJson(m_platform->localEndpoint(), "/faults", change);
    }

public:
    void setUp() override
    {
        m_platform = standins::platform_standin::create(m_loop.base(), m_clock, {}).value();
        m_client = std::make_unique<standins::blocking_client>(m_loop);
        console_settings settings;
        settings.platform.platform = m_platform->localEndpoint();
        settings.formSecret = "test";
        settings.submissions.pause = std::chrono::milliseconds(1);
        settings.submissions.failures = 3;
        m_pages = std::make_unique<console_pages>(
            m_loop.base(), m_clock, settings,
            operator_list::parse(operator_list::makeLine("anna", "pw") + "\n"
                                 + operator_list::makeLine("bruno", "pw"))
                .value());
        m_server = http::server::create(m_loop.base(), {},
                                        [this](const http::request &message, http::responder to) {
                                            m_pages->handle(message, std::move(to));
                                        })
                       .value();
        m_credential = "anna:pw";
        m_client->get(m_platform->localEndpoint(),
                      {"PUT",
                       "/objects/configuration/current",
                       {},
                       {{"If-None-Match", "*"}},
                       formatConfiguration(parseValid(smallDocument()))});
    }
    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
        m_pages.reset();
        m_platform.reset();
    }

    /// Guards against pages that are served to anybody.
    void asksForCredential()
    {
        m_credential = "anna:wrong";
        for (const char *path : {"/", "/service", "/history", "/none"}) {
            const auto answer = call("GET", path, 401);
            CPPUNIT_ASSERT(http::findHeader(answer.headers, "WWW-Authenticate").has_value());
        }
        call("POST", "/service/send", 401);
        m_credential = "anna:pw";
        call("GET", "/none", 404);
        call("POST", "/none/send", 404);
        assertText(get("/"), "now 100.0%");
    }

    /// Guards against a change that is sent without having been shown, or without its author.
    void changesServiceAfterPreview()
    {
        const auto preview = post("/departure/preview", openDeparture("s1"), 200);
        assertText(preview, "/backend_servers/s1/leaves_at");
        assertText(preview, "rack &lt;7&gt; &amp; &quot;others&quot;");
        CPPUNIT_ASSERT(current()["revision"] == 7);
        assertText(post("/departure/edit", inputsOf(preview), 200), "2027-05-01T00:00:00Z");
        assertText(post("/departure/send", inputsOf(preview), 200), "revision 8 is accepted");
        CPPUNIT_ASSERT(current()["changed_by"] == "anna");
        CPPUNIT_ASSERT(current()["reason"] == "rack <7> & \"others\"");
        const auto history = get("/history");
        assertText(history, "by anna: rack &lt;7&gt;");
        assertText(history, "/backend_servers/s1/leaves_at");
        assertText(get("/"), "from 2027-05-01T00:00:00Z 100.0%");
        // The same form sent twice is one change.
        post("/departure/send", inputsOf(preview), 200);
        CPPUNIT_ASSERT(current()["revision"] == 8);
    }

    /// Guards against an operator who has to type everything again because of one error.
    void keepsWhatWasTyped()
    {
        auto values = openDeparture("s1");
        values["leaves_at"] = "<tomorrow>";
        auto page = post("/departure/preview", values, 422);
        assertText(page, "value=\"&lt;tomorrow&gt;\"");
        assertText(page, "is not a time in UTC");
        values["leaves_at"] = "2029-05-01T00:00:00Z";
        page = post("/departure/send", values, 422);
        assertText(page, "is after the shutdown");
        CPPUNIT_ASSERT(current()["revision"] == 7);
        CPPUNIT_ASSERT_EQUAL(values["reason"], inputsOf(page)["reason"]);
        values["leaves_at"] = "2027-05-01T00:00:00Z";
        values["reason"] = "";
        assertText(post("/departure/preview", values, 422), "no fewer than 1 characters");
    }

    /// Guards against changes made by links of other sites or by the form of another operator.
    void refusesForgedForms()
    {
        auto values = openDeparture("s1");
        m_credential = "bruno:pw";
        post("/departure/send", values, 403);
        m_credential = "anna:pw";
        post("/service/send", values, 403);
        const auto token = values["token"];
        values.erase("token");
        post("/departure/send", values, 403);
        CPPUNIT_ASSERT(current()["revision"] == 7);
        values["token"] = token;
        post("/departure/send", values, 200);
    }

    /// Guards against a lost update, and against a loser who is not told what to look at.
    void tellsLoserOfRaceWhatChanged()
    {
        auto service = inputsOf(get("/service", {{"id", "desk"}}));
        service["shards"] = "1 p1 100 s1 s2\r\n1 p2 200 s2 s3\r\n";
        service["deadline_ms"] = "321";
        service["prefer"] = "early";
        service["reason"] = "faster";
        m_credential = "bruno:pw";
        post("/departure/send", openDeparture("s1"), 200);
        m_credential = "anna:pw";
        for (const char *step : {"/service/preview", "/service/send"}) {
            const auto page = post(step, service, 409);
            assertText(page, "Revision 8 by bruno");
            assertText(page, "/backend_servers/s1/leaves_at");
            CPPUNIT_ASSERT_EQUAL(std::string("321"), inputsOf(page)["deadline_ms"]);
        }
        const auto again = inputsOf(post("/service/send", service, 409));
        service["base"] = again.at("base");
        service["change_id"] = again.at("change_id");
        post("/service/send", service, 200);
        CPPUNIT_ASSERT(current()["services"][0]["policy"]["deadline_ms"] == 321);
        CPPUNIT_ASSERT(current()["backend_servers"][0].contains("leaves_at"));
    }

    /// Guards against a change reported as lost, or made twice, when the answer is lost.
    void findsOutAboutLostAnswers()
    {
        const auto values = openDeparture("s1");
        setFaults({{"lose_answers", 2}});
        assertText(post("/departure/send", values, 200), "revision 8 is accepted");
        assertText(post("/departure/preview", values, 200), "revision 8 is accepted");
    }

    /// Guards against pages that hang or lose input while the platform is down.
    void showsOutage()
    {
        const auto values = openDeparture("s1");
        setFaults({{"outage", true}});
        assertText(call("GET", "/", 503).body, "changes are not possible now");
        call("GET", "/service", 503);
        call("GET", "/history", 503);
        for (const char *step : {"/departure/preview", "/departure/send"})
            assertText(post(step, values, 503), "rack &lt;7&gt;");
        setFaults({{"outage", false}});
        post("/departure/send", values, 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(console_pages_test);

} // namespace waxwing
