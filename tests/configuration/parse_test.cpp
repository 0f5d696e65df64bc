#include "configuration/example_document.h"
#include "configuration/parse.h"
#include "configuration/wall_time_text.h"
#include "core/hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace waxwing {
namespace {

using nlohmann::json;

/// One way to break the small document, and the problem that has to be reported.
struct broken_case
{
    std::string pointer;
    json value;
    std::string field;
    std::string reason;
};

void assertProblem(const std::string &text, const std::string &field, const std::string &reason)
{
    const auto problems = checkConfiguration(text);
    const bool found = std::any_of(problems.begin(), problems.end(), [&](const auto &problem) {
        return problem.field == field && problem.reason.find(reason) != std::string::npos;
    });
    std::string all;
    for (const auto &problem : problems)
        all += "\n  " + problem.field + ": " + problem.reason;
    CPPUNIT_ASSERT_MESSAGE("expected " + field + ": " + reason + ", got" + all, found);
}

void assertBroken(const std::vector<broken_case> &cases)
{
    for (const auto &item : cases) {
        auto document = smallDocument();
        document[json::json_pointer(item.pointer)] = item.value;
        assertProblem(document.dump(), item.field.empty() ? item.pointer : item.field, item.reason);
    }
}

} // namespace

class parse_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_test);
    CPPUNIT_TEST(formatIsInverse);
    CPPUNIT_TEST(sortsById);
    CPPUNIT_TEST(reportsShape);
    CPPUNIT_TEST(reportsMeaning);
    CPPUNIT_TEST(reportsEveryProblem);
    CPPUNIT_TEST(refusesTextThatIsNotOneDocument);
    CPPUNIT_TEST(coversShardsUntilShutdown);
    CPPUNIT_TEST(readsUtcTimesOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against fields that a host loses when it passes a document on.
    void formatIsInverse()
    {
        for (const char *name : {"lavagna", "verband"}) {
            const auto copy = parseConfiguration(readExample(name));
            CPPUNIT_ASSERT_MESSAGE(std::string(copy.status().message()), copy.ok());
            CPPUNIT_ASSERT_EQUAL(stableHash(copy->text), copy->digest);
            const auto text = formatConfiguration(*copy->document);
            const auto again = parseConfiguration(text);
            CPPUNIT_ASSERT(again.ok() && *again->document == *copy->document);
            CPPUNIT_ASSERT_EQUAL(text, formatConfiguration(*again->document));
        }
        auto full = smallDocument();
        full["allow_uncovered"] = true;
        full["backend_servers"][0]["leaves_at"] = "2027-05-01T08:00:00.25Z";
        full["services"][0]["policy"]["hedge_budget"] = 0.1 + 0.2;
        CPPUNIT_ASSERT_EQUAL(full.dump(), formatConfiguration(parseValid(full)));
    }

    /// Guards against look-ups that miss elements of a document written in another order.
    void sortsById()
    {
        auto reversed = smallDocument();
        std::reverse(reversed["backend_servers"].begin(), reversed["backend_servers"].end());
        std::reverse(reversed["zones"].begin(), reversed["zones"].end());
        auto &shards = reversed["services"][0]["partitionings"][0]["shards"];
        std::reverse(shards.begin(), shards.end());
        const auto parsed = parseValid(reversed);
        CPPUNIT_ASSERT(parsed == parseValid(smallDocument()));
        CPPUNIT_ASSERT(parsed.findServer({"s3"}) != nullptr);
    }

    /// Guards against misspelt, missing and mistyped fields that are silently ignored.
    void reportsShape()
    {
        const std::string service = "/services/0";
        const std::string shard = service + "/partitionings/0/shards/1";
        assertBroken({
            {"/revison", 8, "", "unknown field"},
            {"/services/0/policy/hedge", 1, "", "unknown field"},
            {"/revision", "8", "", "wrong type"},
            {"/revision", 0, "", "greater than or equal to 1"},
            {"/revision", 7.0, "", "wrong type"},
            {"/reason", "", "", "no fewer than 1"},
            {"/zones", json::array(), "", "no fewer than 1"},
            {"/backend_servers/2/slots", 0, "", "greater than or equal to 1"},
            {"/backend_servers/2/slots", 65536, "", "less than or equal to 65535; found 65536"},
            {"/backend_servers/1", json::object(), "/backend_servers/1/address", "missing"},
            {service + "/policy/prefer", "fast", "", "\"early\" and \"whole\"; found \"fast\""},
            {service + "/policy/wanted_coverage", 1.5, "", "less than or equal to 1; found 1.5"},
            {service + "/policy/deadline_ms", 0, "", "greater than or equal to 1"},
            {service + "/partitionings", json::array(), "", "no fewer than 1"},
            {shard + "/documents", -1, "", "greater than or equal to 0"},
            {shard + "/replicas/0", 3, "", "wrong type"},
        });
    }

    /// Guards against documents of the right shape that cannot be served.
    void reportsMeaning()
    {
        const std::string shard = "/services/0/partitionings/0/shards/1";
        const json early = "2027-01-01T00:00:00Z";
        assertBroken({
            {"/zones/1", "a", "", "duplicate id 'a', first at /zones/0"},
            {"/zones/1", "c", "/backend_servers/1/zone", "unknown zone 'b'"},
            {"/backend_servers/1/id", "s1", "", "duplicate id"},
            {"/backend_servers/1/id", "S/1", "", "not an id"},
            {"/backend_servers/1/address", "127.0.0.1:1001", "", "same address"},
            {"/backend_servers/1/address", "127.0.0.1:0", "", "port 0"},
            {"/backend_servers/1/address", "localhost:80", "", "not an endpoint"},
            {"/backend_servers/1/connection_limit", 2, "", "needs at least 2 connections"},
            {"/backend_servers/1/leaves_at", "2027-07-01T00:00:00Z", "", "after the shutdown"},
            {"/backend_servers/1/leaves_at", "soon", "", "not a time"},
            {"/shutdown_at", "2027-06-30T22:00:00+02:00", "", "not a time"},
            {shard + "/id", "p1", "", "duplicate id 'p1'"},
            {shard + "/replicas/1", "s9", "", "unknown backend server 's9'"},
            {shard + "/replicas/1", "s2", "", "named twice"},
            {shard + "/replicas", json::array(), "", "has no replica"},
        });
        auto twice = smallDocument();
        twice["services"][0]["partitionings"].push_back(twice["services"][0]["partitionings"][0]);
        assertProblem(twice.dump(), "/services/0/partitionings/1/generation", "duplicate");
    }

    /// Guards against an operator who has to correct one error for each attempt.
    void reportsEveryProblem()
    {
        auto document = smallDocument();
        document.erase("reason");
        document["first"] = 1;
        document["second"] = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, checkConfiguration(document.dump()).size());
        const auto status = parseConfiguration(document.dump()).status();
        CPPUNIT_ASSERT(absl::IsInvalidArgument(status));
        for (const char *field : {"/reason", "/first", "/second"})
            CPPUNIT_ASSERT(std::string(status.message()).find(field) != std::string::npos);
    }

    /// Guards against text that two JSON parsers read differently, and against a document that
    /// the platform cannot store.
    void refusesTextThatIsNotOneDocument()
    {
        assertProblem("", "", "not valid JSON");
        assertProblem("{\"zones\": [", "", "not valid JSON");
        assertProblem(smallDocument().dump() + "x", "", "not valid JSON");
        assertProblem(R"({"revision": 1, "revision": 2})", "", "'revision' appears twice");
        assertProblem(smallDocument().dump() + std::string(1'000'000, ' '), "", "at most 1000000");
    }

    /// Guards against a shard that loses its last replica without anybody having agreed to it.
    void coversShardsUntilShutdown()
    {
        auto document = smallDocument();
        auto &servers = document["backend_servers"];
        servers[0]["leaves_at"] = "2027-05-01T00:00:00Z";
        servers[1]["leaves_at"] = "2027-06-30T22:00:00Z";
        CPPUNIT_ASSERT(checkConfiguration(document.dump()).empty());
        servers[1]["leaves_at"] = "2027-06-01T00:00:00Z";
        assertProblem(document.dump(), "/services/0/partitionings/0/shards/0/replicas",
                      "no replica from 2027-06-01T00:00:00Z");
        document["allow_uncovered"] = true;
        CPPUNIT_ASSERT(checkConfiguration(document.dump()).empty());
    }

    /// Guards against departures that shift by an offset or a normalised date.
    void readsUtcTimesOnly()
    {
        const auto parsed = parseWallTime("2027-03-31T22:00:00.5Z");
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("2027-03-31T22:00:00.5Z"), formatWallTime(*parsed));
        for (const char *text :
             {"", "infinite-future", "2027-03-31T22:00:00", "2027-03-31T22:00:00+00:00",
              " 2027-03-31T22:00:00Z", "2027-03-31 22:00:00Z", "2027-02-30T22:00:00Z",
              "2027-03-31T22:00:00.0001Z", "12027-03-31T22:00:00Z", "2027-03-31T22:00:00ZZ"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseWallTime(text).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_test);

} // namespace waxwing
