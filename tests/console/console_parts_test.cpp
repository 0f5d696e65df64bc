#include "configuration/coverage_timeline.h"
#include "configuration/example_document.h"
#include "configuration/wall_time_text.h"
#include "console/change_form.h"
#include "console/console_settings.h"
#include "console/form_token.h"
#include "console/html.h"
#include "console/operator_list.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class console_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(console_parts_test);
    CPPUNIT_TEST(escapesMarkup);
    CPPUNIT_TEST(decodesForms);
    CPPUNIT_TEST(bindsTokens);
    CPPUNIT_TEST(authenticatesOperators);
    CPPUNIT_TEST(refusesWrongOperatorFiles);
    CPPUNIT_TEST(serviceSurvivesForm);
    CPPUNIT_TEST(placesProblemsBesideFields);
    CPPUNIT_TEST(readsSettings);
    CPPUNIT_TEST(coverageFallsWithDepartures);
    CPPUNIT_TEST_SUITE_END();

    static std::string basic(const std::string &credential)
    {
        return "Basic " + absl::Base64Escape(credential);
    }

public:
    /// Guards against values that become markup or leave an attribute.
    void escapesMarkup()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("&lt;b a=&quot;&#39;&amp;amp;&quot;&gt;"),
                             escapeHtml("<b a=\"'&amp;\">"));
        const auto page = htmlPage(200, "<x>", "");
        CPPUNIT_ASSERT(page.body.find("<x>") == std::string::npos);
        const auto policy = http::findHeader(page.headers, "Content-Security-Policy");
        CPPUNIT_ASSERT(policy && policy->find("default-src 'none'") != std::string::npos);
    }

    /// Guards against line breaks, spaces and signs that browsers encode and forms lose.
    void decodesForms()
    {
        const auto values = parseFormBody("a=1+2%2B%0D%0A&b=&c&a=9&&d=%26%3D");
        const form_values expected{{"a", "1 2+\r\n"}, {"b", ""}, {"c", ""}, {"d", "&="}};
        CPPUNIT_ASSERT(expected == values);
    }

    /// Guards against forms that another site, operator or page made.
    void bindsTokens()
    {
        const form_tokens tokens("secret", std::chrono::seconds(60));
        const wall_time now(std::chrono::hours(400'000));
        const auto token = tokens.make("anna", "/service", now);
        const auto state = [&](const std::string &text, const char *name, const char *form,
                               int seconds) {
            return tokens.check(text, name, form, now + std::chrono::seconds(seconds));
        };
        CPPUNIT_ASSERT(state(token, "anna", "/service", 59) == token_state::Valid);
        CPPUNIT_ASSERT(state(token, "anna", "/service", 60) == token_state::Expired);
        CPPUNIT_ASSERT(state(token, "bruno", "/service", 0) == token_state::Forged);
        CPPUNIT_ASSERT(state(token, "anna", "/departure", 0) == token_state::Forged);
        CPPUNIT_ASSERT(state("9" + token, "anna", "/service", 0) == token_state::Forged);
        CPPUNIT_ASSERT(state("", "anna", "/service", 0) == token_state::Forged);
        const form_tokens other("secret2", std::chrono::seconds(60));
        CPPUNIT_ASSERT(other.check(token, "anna", "/service", now) == token_state::Forged);
    }

    /// Guards against a console that anybody can use, also after a right password was cached.
    void authenticatesOperators()
    {
        auto operators = operator_list::parse("# staff\n" + operator_list::makeLine("anna", "pw:1")
                                              + "\n" + operator_list::makeLine("bruno", "pw2"))
                             .value();
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT(operators.authenticate(basic("anna:pw:1")) == "anna");
            CPPUNIT_ASSERT(operators.authenticate(basic("bruno:pw2")) == "bruno");
            for (const auto &wrong :
                 {basic("anna:pw2"), basic("carla:pw:1"), basic("anna"), basic("anna:"),
                  std::string("Basic !"), std::string("Bearer x"), std::string()})
                CPPUNIT_ASSERT_MESSAGE(wrong, !operators.authenticate(wrong));
        }
    }

    /// Guards against an operators file that silently lets nobody, or everybody, in.
    void refusesWrongOperatorFiles()
    {
        const auto line = operator_list::makeLine("anna", "pw");
        CPPUNIT_ASSERT(operator_list::parse(line).ok());
        for (const std::string &text :
             {std::string(), std::string("anna:pw"), absl::StrCat(line, "\n", line),
              "anna:1:" + line.substr(12), line + "\r", ":" + line.substr(line.find(':') + 1)})
            CPPUNIT_ASSERT_MESSAGE(text, !operator_list::parse(text).ok());
    }

    /// Guards against an unchanged form that changes the service.
    void serviceSurvivesForm()
    {
        for (const char *name : {"lavagna", "verband"}) {
            const auto document = parseValid(nlohmann::json::parse(readExample(name)));
            for (const auto &owner : document.services) {
                const auto values = serviceForm().fill(document, owner.id.value);
                const auto edit = std::get<configuration_edit>(serviceForm().parse(values));
                CPPUNIT_ASSERT(std::get<change_service_edit>(edit).value == owner);
            }
        }
    }

    /// Guards against errors that an operator cannot find the field of.
    void placesProblemsBesideFields()
    {
        const auto document = parseValid(smallDocument());
        auto values = serviceForm().fill(document, "desk");
        values["deadline_ms"] = "soon";
        values["wanted_coverage"] = "nan";
        values["shards"] = "1 p1 100 s1\n1 p2\n";
        const auto errors = std::get<form_errors>(serviceForm().parse(values));
        CPPUNIT_ASSERT(errors.count("deadline_ms") == 1 && errors.count("wanted_coverage") == 1);
        CPPUNIT_ASSERT(errors.at("shards").front().find("line 2") == 0);
        const auto placed =
            placeProblems(serviceForm(),
                          {{"/reason", "a"},
                           {"/services/desk/policy/prefer", "b"},
                           {"/services/desk/partitionings/1/shards/p1/replicas", "c"},
                           {"/services/desk", "d"},
                           {"", "e"}});
        for (const char *field : {"reason", "prefer", "shards", "id", ""})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(field, std::size_t{1}, placed.count(field));
        const auto departure =
            placeProblems(departureForm(),
                          {{"/backend_servers/s1", "a"}, {"/backend_servers/s1/leaves_at", "b"}});
        CPPUNIT_ASSERT(departure.count("server") == 1 && departure.count("leaves_at") == 1);
    }

    /// Guards against a console that starts with a secret that can be guessed.
    void readsSettings()
    {
        const std::string text = "listen: 127.0.0.1:8000\nplatform: 127.0.0.1:7000\n"
                                 "entry_hosts: [127.0.0.1:9000]\noperators_file: operators\n";
        const std::string secret(32, 's');
        CPPUNIT_ASSERT(console_settings::parse(text + "form_secret: " + secret, "f").ok());
        for (const auto &wrong : {text, text + "form_secret: short", text + "other: 1"})
            CPPUNIT_ASSERT(!console_settings::parse(wrong, "f").ok());
    }

    /// Guards against an overview that shows full coverage after the last replica has left.
    void coverageFallsWithDepartures()
    {
        auto document = smallDocument();
        document["allow_uncovered"] = true;
        document["backend_servers"][0]["leaves_at"] = "2027-03-01T00:00:00Z";
        document["backend_servers"][1]["leaves_at"] = "2027-04-01T00:00:00Z";
        const auto parsed = parseValid(document);
        const auto now = parseWallTime("2027-01-01T00:00:00Z").value();
        const auto points = coverageTimeline(parsed, parsed.services[0], now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, points.size());
        CPPUNIT_ASSERT(points[0] == (coverage_point{now, 1.0}) && points[1].ratio == 1.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200.0 / 300.0, points[2].ratio, 1e-9);
        CPPUNIT_ASSERT(points[2].from == parseWallTime("2027-04-01T00:00:00Z").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(console_parts_test);

} // namespace waxwing
