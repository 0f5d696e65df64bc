#include "entry/caller_codec.h"
#include "entry/cursor_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {
http::request post(std::string body, std::string path = "/v1/services/s/search")
{
    return {"POST", std::move(path), {}, {{"Idempotency-Key", "k"}}, std::move(body)};
}

int statusOf(const http::request &message)
{
    const auto parsed = parseCallerRequest(message);
    const auto *reason = std::get_if<refusal>(&parsed);
    return reason == nullptr ? 200 : reason->status;
}

} // namespace

class caller_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_codec_test);
    CPPUNIT_TEST(readsWholeSearches);
    CPPUNIT_TEST(getEqualsPost);
    CPPUNIT_TEST(refusesMalformedSearches);
    CPPUNIT_TEST(refusesMalformedCommands);
    CPPUNIT_TEST(cursorRoundTripsExactly);
    CPPUNIT_TEST(answersCarryEveryField);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against fields of a request that are lost when it is parsed.
    void readsWholeSearches()
    {
        auto message = post(R"({"query":"caf\u00e9","limit":7,"cursor":null})");
        message.headers = {
            {"request-timeout-ms", "250"},
            {"Caller-Id", "portal"},
            {"traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}};
        const auto search = std::get<search_request>(parseCallerRequest(message));
        CPPUNIT_ASSERT_EQUAL(std::string("caf\u00e9"), search.query);
        CPPUNIT_ASSERT_EQUAL(7U, search.limit);
        CPPUNIT_ASSERT(search.timeout == std::chrono::milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::string("portal"), search.caller);
        CPPUNIT_ASSERT(search.trace.sampled);
    }

    /// Guards against GET and POST requests with equal parameters that are parsed differently.
    void getEqualsPost()
    {
        const std::string cursor = encodeCursor({{3, 9}, {"d", 0.1}});
        const http::request get{"GET",
                                "/v1/services/s/search",
                                {{"q", "a b"}, {"limit", "5"}, {"cursor", cursor}},
                                {},
                                {}};
        const auto equal =
            post(nlohmann::json{{"query", "a b"}, {"limit", 5}, {"cursor", cursor}}.dump());
        CPPUNIT_ASSERT(std::get<search_request>(parseCallerRequest(get))
                       == std::get<search_request>(parseCallerRequest(equal)));
    }

    /// Guards against malformed input that is accepted, gets the wrong status or crashes the host.
    void refusesMalformedSearches()
    {
        for (const auto &[body, status] :
             std::vector<std::pair<std::string, int>>{{"", 400},
                                                      {"{\"query\":\"a\"", 400},
                                                      {"{\"query\":\"\xff\"}", 400},
                                                      {std::string(60000, '['), 400},
                                                      {"[]", 422},
                                                      {"{}", 422},
                                                      {R"({"query":7})", 422},
                                                      {R"({"query":"a","limit":0})", 422},
                                                      {R"({"query":"a","limit":101})", 422},
                                                      {R"({"query":"a","limit":-1})", 422},
                                                      {R"({"query":"a","limit":1.5})", 422},
                                                      {R"({"query":"a","cursor":"!!"})", 422},
                                                      {R"({"query":"a","cursor":3})", 422},
                                                      {R"({"query":"a"})", 200}})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body.substr(0, 50), status, statusOf(post(body)));
        CPPUNIT_ASSERT_EQUAL(404, statusOf(post("{}", "/v1/services/s/find")));
        CPPUNIT_ASSERT_EQUAL(404, statusOf(post("{}", "/v1/services//search")));
        CPPUNIT_ASSERT_EQUAL(404, statusOf(post("{}", "/v1/services/a/b/search")));
        http::request message{"GET", "/v1/services/s/search", {{"q", "\xff"}}, {}, {}};
        CPPUNIT_ASSERT_EQUAL(422, statusOf(message));
        message.method = "DELETE";
        CPPUNIT_ASSERT_EQUAL(405, statusOf(message));
        auto timed = post(R"({"query":"a"})");
        for (const char *timeout : {"0", "-5", "1e3", "99999999999999999999", "1.5", ""}) {
            timed.headers = {{"Request-Timeout-Ms", timeout}};
            CPPUNIT_ASSERT_EQUAL_MESSAGE(timeout, 400, statusOf(timed));
        }
    }

    /// Guards against commands that are accepted without a valid idempotency key, so that a retry
    /// could run them twice.
    void refusesMalformedCommands()
    {
        const std::string path = "/v1/services/s/commands";
        auto message = post(R"({"document":"d","operation":"enrol","payload":{"a":[1]}})", path);
        const auto command = std::get<command_request>(parseCallerRequest(message));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":[1]})"), command.payload);
        for (const std::string &key : {std::string(), std::string(129, 'k'), std::string("a\tb")}) {
            message.headers = {{"Idempotency-Key", key}};
            CPPUNIT_ASSERT_EQUAL(400, statusOf(message));
        }
        CPPUNIT_ASSERT_EQUAL(422, statusOf(post(R"({"document":"d"})", path)));
        CPPUNIT_ASSERT_EQUAL(422, statusOf(post(R"({"document":"","operation":"x"})", path)));
        message.method = "GET";
        CPPUNIT_ASSERT_EQUAL(405, statusOf(message));
    }

    /// Guards against pages that repeat or skip a hit because the cursor rounded a score.
    void cursorRoundTripsExactly()
    {
        const page_cursor cursor{{4294967295U, 18446744073709551615ULL}, {"d\"\u00e9", 0.1 + 0.2}};
        CPPUNIT_ASSERT(decodeCursor(encodeCursor(cursor)) == cursor);
        const std::string whole = encodeCursor(cursor);
        for (std::size_t size = 0; size + 1 < whole.size(); ++size)
            CPPUNIT_ASSERT(!decodeCursor(whole.substr(0, size)).has_value());
    }

    /// Guards against responses with missing or wrong fields, in particular the coverage.
    void answersCarryEveryField()
    {
        const search_answer answer{{"s"}, {2, 8}, {{"d1", 1.5}}, {50, 100, {{"s1"}}}, {}};
        const auto response = formatSearchOutcome(answer);
        const auto expected = nlohmann::json::parse(
            R"({"service":"s","snapshot":{"partitioning":2,"version":8},)"
            R"("hits":[{"id":"d1","score":1.5}],"coverage":{"documents_searched":50,)"
            R"("documents_total":100,"ratio":0.5,"whole":false,"missing_shards":["s1"]},)"
            R"("cursor":null})");
        CPPUNIT_ASSERT(expected == nlohmann::json::parse(response.body));
        const auto refused = formatCommandOutcome(refusal{
            503, "overloaded", "x", execution_state::NotRun, std::chrono::milliseconds(1200)});
        CPPUNIT_ASSERT_EQUAL(std::string("2"), *http::findHeader(refused.headers, "Retry-After"));
        const auto done = formatCommandOutcome(command_answer{{"s"}, R"({"n":1})", true});
        CPPUNIT_ASSERT(nlohmann::json::parse(
                           R"({"service":"s","outcome":"done","result":{"n":1},"replayed":true})")
                       == nlohmann::json::parse(done.body));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_codec_test);

} // namespace waxwing
