#include "platform/routes_reader.h"

#include "platform/document_codec.h"
#include "platform/routes_report.h"
#include "route_check/route_checks.h"
#include "support/fuzz_input.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::platform {
namespace {

using nlohmann::json;
using route_check::finding_code;

constexpr std::uint32_t seed = 20261204;

json exampleDocument()
{
    std::ifstream file(std::string(WAXWING_TESTS_DIR) + "/../examples/relay/routes.json");
    return json::parse(file);
}

std::string namesOf(const std::vector<located_finding> &findings)
{
    return routes_report{"FILE", std::nullopt, findings}.text();
}

void assertOnly(const routes_file &file, finding_code code, const std::string &pointer)
{
    const std::string names = namesOf(file.findings);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(names, std::size_t{1}, file.findings.size());
    CPPUNIT_ASSERT_MESSAGE(names, file.findings[0].code == code);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(names, pointer, file.findings[0].pointer);
}

/// Guards against a document that the check accepts and hosts reject, or the other way round, and
/// against places that operators do not find.
class routes_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routes_reader_test);
    CPPUNIT_TEST(readsTheSpecAndTheWholeObject);
    CPPUNIT_TEST(namesTheFieldThatHostsCannotDecode);
    CPPUNIT_TEST(reportsAllEntriesThatHostsCannotDecode);
    CPPUNIT_TEST(namesThePlaceOfARejection);
    CPPUNIT_TEST(findsObjectsThatHostsIgnore);
    CPPUNIT_TEST(findsDuplicateFields);
    CPPUNIT_TEST(findsUnknownTypes);
    CPPUNIT_TEST(findsDocumentsThatTheStoreRefuses);
    CPPUNIT_TEST(placesOfServicesFollowTheForm);
    CPPUNIT_TEST(syntaxErrorsNameThePositionAndNoContent);
    CPPUNIT_TEST(deepAndHugeInputIsReported);
    CPPUNIT_TEST(agreesWithHostsOnDamagedDocuments);
    CPPUNIT_TEST(readsRegistrations);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsTheSpecAndTheWholeObject()
    {
        const json spec = exampleDocument();
        const routes_file plain = readRoutesFile(spec.dump());
        CPPUNIT_ASSERT_EQUAL(std::string(), plain.pointers.prefix());
        CPPUNIT_ASSERT_MESSAGE(namesOf(plain.findings), plain.findings.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, plain.document->version());
        const json object{{"meta", {{"name", "main"}, {"revision", 12}}}, {"spec", spec}};
        const routes_file whole = readRoutesFile(object.dump(4));
        CPPUNIT_ASSERT_EQUAL(std::string("/spec"), whole.pointers.prefix());
        CPPUNIT_ASSERT_MESSAGE(namesOf(whole.findings), whole.findings.empty());
        CPPUNIT_ASSERT(*whole.document == *plain.document);
    }

    void namesTheFieldThatHostsCannotDecode()
    {
        const std::vector<std::pair<std::string, json>> changes{
            {"/version", -1},
            {"/version", "7"},
            {"/routes", json::object()},
            {"/routes/1", 17},
            {"/routes/0/timeoutMs", "600"},
            {"/routes/0/timeoutMs", 1e300},
            {"/routes/0/gather", json::array({1})},
            {"/routes/0/topK", -1},
            {"/routes/1/targets", json::array({json::object()})},
            {"/routes/1/public", 1},
            {"/routes/2/allowedRegions", "north"},
            {"/services/3/maxConnections", 1.5},
            {"/services/0/warmupS", -1},
            {"/tenants/0/apiKeys", json::array({nullptr})},
            {"/tenants/2", nullptr},
            {"/tenants/1/ratePerS", "2"},
            {"/limits/idleTimeoutMs", nullptr},
        };
        for (const auto &[pointer, value] : changes) {
            json changed = exampleDocument();
            changed[json::json_pointer(pointer)] = value;
            const routes_file plain = readRoutesFile(changed.dump());
            CPPUNIT_ASSERT(!plain.document.has_value());
            assertOnly(plain, finding_code::InvalidField, pointer);
            assertOnly(readRoutesFile(json{{"spec", changed}}.dump()), finding_code::InvalidField,
                       "/spec" + pointer);
        }
        for (const char *noObject : {"17", "[]", "null", "\"text\""}) {
            const routes_file file = readRoutesFile(noObject);
            CPPUNIT_ASSERT(!file.document.has_value());
            CPPUNIT_ASSERT(file.findings.front().code == finding_code::InvalidField);
            CPPUNIT_ASSERT_EQUAL(std::string(), file.findings.front().pointer);
        }
    }

    void reportsAllEntriesThatHostsCannotDecode()
    {
        json changed = exampleDocument();
        changed["routes"][0].erase("timeoutMs");
        changed["routes"][2].erase("name");
        changed["services"][1].erase("maxConnections");
        changed["limits"].erase("maxBodyBytes");
        const routes_file file = readRoutesFile(changed.dump());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(namesOf(file.findings), std::size_t{4}, file.findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/routes/2/name"), file.findings[1].pointer);
        CPPUNIT_ASSERT_EQUAL(std::string("/limits/maxBodyBytes"), file.findings[3].pointer);
    }

    void namesThePlaceOfARejection()
    {
        const std::vector<std::tuple<std::string, json, finding_code, std::string>> changes{
            {"/routes/1/pathPrefix", "/all/", finding_code::DuplicateRoute, "/routes/1/pathPrefix"},
            {"/routes/0/minCoverage", 1.5, finding_code::InvalidCoverage, "/routes/0/minCoverage"},
            {"/routes/0/gather/1", "shard-1", finding_code::InvalidRoute, "/routes/0/gather/1"},
            {"/routes/1/targets", json::parse(R"([{"service":"suggest-a","weight":0}])"),
             finding_code::NoWeight, "/routes/1/targets"},
            {"/tenants/1/name", "archive", finding_code::DuplicateName, "/tenants/1/name"},
            {"/tenants/1/apiKeys/0", "example-key-archive-2", finding_code::DuplicateKey,
             "/tenants/1/apiKeys/0"},
            {"/routes/2/attempts", 0, finding_code::InvalidRoute, "/routes/2/attempts"},
            {"/routes/2/host", "", finding_code::InvalidRoute, "/routes/2/host"},
            {"/routes/2/targetLatencyMs", 0, finding_code::InvalidRoute,
             "/routes/2/targetLatencyMs"},
            {"/tenants/0/burst", -1, finding_code::InvalidOrganisation, "/tenants/0/burst"},
        };
        for (const auto &[pointer, value, code, place] : changes) {
            json changed = exampleDocument();
            changed[json::json_pointer(pointer)] = value;
            assertOnly(readRoutesFile(changed.dump()), code, place);
        }
    }

    void findsObjectsThatHostsIgnore()
    {
        const json object{{"meta", {{"name", "main-new"}}}, {"spec", exampleDocument()}};
        assertOnly(readRoutesFile(object.dump()), finding_code::WrongObject, "/meta/name");
    }

    /// Hosts use the first of two equal fields, and an edit would keep the last one.
    void findsDuplicateFields()
    {
        std::string text = exampleDocument().dump();
        text.insert(1, R"("routes":[],)");
        const routes_file file = readRoutesFile(text);
        CPPUNIT_ASSERT(file.hasErrors());
        assertOnly(file, finding_code::DuplicateField, "/routes");
    }

    void findsUnknownTypes()
    {
        json changed = exampleDocument();
        changed["routes"][1]["type"] = "Idempotent";
        assertOnly(readRoutesFile(changed.dump()), finding_code::UnknownType, "/routes/1/type");
        // A fan-out is idempotent in any case.
        changed = exampleDocument();
        changed["routes"][0]["type"] = "gathered";
        CPPUNIT_ASSERT(readRoutesFile(changed.dump()).findings.empty());
    }

    void findsDocumentsThatTheStoreRefuses()
    {
        json changed = exampleDocument();
        changed["comment"] = std::string(maxObjectBytes, 'x');
        assertOnly(readRoutesFile(changed.dump()), finding_code::LargeDocument, "");
        // White space does not count.
        const std::string padded = exampleDocument().dump() + std::string(maxObjectBytes, ' ');
        CPPUNIT_ASSERT(readRoutesFile(padded).findings.empty());
    }

    void placesOfServicesFollowTheForm()
    {
        using route_check::document_field;
        using route_check::document_section;
        const routes_file file = readRoutesFile(json{{"spec", exampleDocument()}}.dump());
        const auto pointer = [&](std::size_t route) {
            return file.pointers.pointerTo(
                {document_section::Routes, route, document_field::Targets, 0});
        };
        CPPUNIT_ASSERT_EQUAL(std::string("/spec/routes/1/targets/0"), pointer(1));
        CPPUNIT_ASSERT_EQUAL(std::string("/spec/routes/2/service"), pointer(2));
    }

    /// Guards against keys in messages: the parsers quote what they could not read.
    void syntaxErrorsNameThePositionAndNoContent()
    {
        const std::string text =
            "{\n  \"tenants\": [{\"apiKeys\": [\"secret-key\" \"other-key\"]}]}";
        const routes_file file = readRoutesFile(text);
        assertOnly(file, finding_code::NotJson, "");
        const std::string &sentence = file.findings[0].sentence;
        CPPUNIT_ASSERT_MESSAGE(sentence, sentence.find("line 2") != std::string::npos);
        CPPUNIT_ASSERT(sentence.find("key") == std::string::npos);
        for (const char *broken :
             {"", " ", "{", "nul", "\xff\xfe", "{\"a\":\"\xc3\"}", "{\"version\":1e999}",
              "{\"version\":99999999999999999999}", "{}{}", "{\"secret-key"}) {
            const routes_file other = readRoutesFile(broken);
            assertOnly(other, finding_code::NotJson, "");
            CPPUNIT_ASSERT(other.findings[0].sentence.find("secret") == std::string::npos);
        }
    }

    /// Guards against a stack that overflows and against a check that does not end.
    void deepAndHugeInputIsReported()
    {
        assertOnly(readRoutesFile(std::string(8'000'000, '[')), finding_code::NotJson, "");
        assertOnly(readRoutesFile(std::string(100'000, '[') + std::string(100'000, ']')),
                   finding_code::NotJson, "");
        json document = exampleDocument();
        const json route = document["routes"][2];
        for (int i = 0; i < 20'000; ++i) {
            document["routes"].push_back(route);
            document["routes"].back()["pathPrefix"] = "/n/" + std::to_string(i) + "/";
        }
        const routes_file file = readRoutesFile(document.dump());
        assertOnly(file, finding_code::LargeDocument, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{20'000},
                             route_check::checkRoutes(*file.document, {}).size());
    }

    void agreesWithHostsOnDamagedDocuments()
    {
        fuzz_input input(seed,
                         {exampleDocument().dump(),
                          json{{"meta", {{"name", "main"}}}, {"spec", exampleDocument()}}.dump()});
        std::size_t accepted = 0;
        for (std::size_t i = 0, rounds = fuzz_input::rounds(3000); i < rounds; ++i) {
            const std::string text = input.next();
            const routes_file file = readRoutesFile(text);
            const bool hosts = isAcceptedByHosts(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, hosts, file.document.has_value());
            CPPUNIT_ASSERT_MESSAGE(text, hosts || file.hasErrors());
            if (!hosts)
                continue;
            ++accepted;
            (void)route_check::checkRoutes(*file.document, {});
        }
        CPPUNIT_ASSERT(accepted > 0);
    }

    void readsRegistrations()
    {
        const std::string good = R"({"meta":{"name":"i-1","revision":4},"spec":{"service":"s1",)"
                                 R"("address":"10.0.0.1:80","zone":"z","version":"v1",)"
                                 R"("capacity":2,"state":"ready","coldRemainingMs":0,)"
                                 R"("sequence":1}})";
        const std::string bad = R"({"meta":{"name":"i-2","revision":4},"spec":{}})";
        const std::string items = fmt::format("[{},{}]", good, bad);
        for (const std::string &text :
             {R"({"items":)" + items + R"(,"hasMore":false,"currentRev":9})", " " + items}) {
            const auto list = readRegistrations(text);
            CPPUNIT_ASSERT(list.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list->servers.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list->problems.size());
            CPPUNIT_ASSERT(list->problems[0].find("i-2") != std::string::npos);
        }
        for (const char *wrong :
             {"", "17", "{}", "[", R"({"items":[],"hasMore":true,"currentRev":9})",
              R"({"items":17,"currentRev":9})"})
            CPPUNIT_ASSERT_MESSAGE(wrong,
                                   absl::IsInvalidArgument(readRegistrations(wrong).status()));
    }

private:
    static bool isAcceptedByHosts(const std::string &text)
    {
        simdjson::dom::parser parser;
        simdjson::dom::element root;
        if (parser.parse(text).get(root) != simdjson::SUCCESS)
            return false;
        simdjson::dom::object spec;
        const bool isWhole = root["spec"].get(spec) == simdjson::SUCCESS
            && root["version"].error() != simdjson::SUCCESS;
        return readRoutes(isWhole ? simdjson::dom::element(root["spec"].value()) : root).ok();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routes_reader_test);

} // namespace
} // namespace waxwing::platform
