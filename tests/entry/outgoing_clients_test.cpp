#include "entry/backend_client.h"
#include "entry/platform_client.h"
#include "entry/scripted_http.h"
#include "support/silent_logger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using http::transport_error;

const endpoint peer{"127.0.0.1", 9};
const leaf_search search{{"s"}, {"s1"}, {2, 8}, "q", 2, hit{"d0", 5.0}};

nlohmann::json goodReply()
{
    return nlohmann::json::parse(
        R"({"request_id":"h-3-7","service":"s","shard":"s1","partitioning":2,"version":8,)"
        R"("documents_searched":9,"documents_total":10,"hits":[{"id":"a","score":2},)"
        R"({"id":"b","score":1}],"held":[{"partitioning":2,"version":8}]})");
}

} // namespace

class outgoing_clients_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outgoing_clients_test);
    CPPUNIT_TEST(searchRequestContainsAllFields);
    CPPUNIT_TEST(neverUsesForeignOrMalformedReplies);
    CPPUNIT_TEST(ambiguousFailureIsNotReportedAsNotRun);
    CPPUNIT_TEST(malformedHealthReportSendsNoEvent);
    CPPUNIT_TEST(lostResponseToPlatformChangeIsUnknown);
    CPPUNIT_TEST(platformChangesAreConditional);
    CPPUNIT_TEST_SUITE_END();

    scripted_http m_http;
    metrics_registry m_metrics;
    silent_logger m_log;
    std::vector<event_body> m_events;

    event_sink sink()
    {
        return [this](event_body body) { m_events.push_back(std::move(body)); };
    }

    leaf_outcome finish(const http::client::outcome &outcome)
    {
        backend_client client(m_http, m_metrics, {"h"}, 3, sink());
        client.carryOut(
            send_leaf_search{{7}, {"b"}, peer, search, std::chrono::milliseconds(40), {}});
        m_http.sent.back().onDone(outcome);
        return std::get<leaf_search_finished>(m_events.back()).outcome;
    }

    leaf_error errorOf(const http::client::outcome &outcome)
    {
        return std::get<leaf_failure>(finish(outcome)).error;
    }

    platform_result call(platform_call::method_kind method, const http::client::outcome &outcome)
    {
        platform_client client(m_http, m_log, peer, sink());
        client.carryOut({{5}, {method, "claim", "n", 4, "{}", std::chrono::milliseconds(100)}});
        m_http.sent.back().onDone(outcome);
        return std::get<platform_finished>(m_events.back()).result;
    }

public:
    /// Guards against requests to a backend server that lack a field or a header.
    void searchRequestContainsAllFields()
    {
        const auto outcome = finish(http::response{200, {}, goodReply().dump()});
        const auto &message = m_http.sent.back().message;
        CPPUNIT_ASSERT(
            nlohmann::json::parse(message.body)
            == nlohmann::json::parse(
                R"({"request_id":"h-3-7","service":"s","shard":"s1","partitioning":2,)"
                R"("version":8,"query":"q","limit":2,"after":{"score":5.0,"id":"d0"}})"));
        CPPUNIT_ASSERT_EQUAL(std::string("Request-Timeout-Ms"), message.timeoutField);
        CPPUNIT_ASSERT(m_http.sent.back().timeout == std::chrono::milliseconds(40));
        const auto &answer = std::get<leaf_answer>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.hits.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, answer.documentsSearched);
    }

    /// Guards against accepting replies that mix snapshots, requests or unordered hits (P1, P3).
    void neverUsesForeignOrMalformedReplies()
    {
        const auto status = [this](const std::string &body) {
            return errorOf(http::response{200, {}, body});
        };
        for (const auto &[field, value] :
             std::vector<std::pair<std::string, nlohmann::json>>{{"request_id", "h-3-8"},
                                                                 {"service", "t"},
                                                                 {"shard", "s2"},
                                                                 {"partitioning", 1},
                                                                 {"version", 7},
                                                                 {"documents_searched", 11},
                                                                 {"documents_total", -1},
                                                                 {"hits", nullptr},
                                                                 {"hits", {{{"id", "a"}}}},
                                                                 {"held", 3},
                                                                 {"version", "8"}}) {
            auto reply = goodReply();
            reply[field] = value;
            CPPUNIT_ASSERT_MESSAGE(field, status(reply.dump()) == leaf_error::Malformed);
        }
        auto reply = goodReply();
        std::swap(reply["hits"][0], reply["hits"][1]);
        CPPUNIT_ASSERT(status(reply.dump()) == leaf_error::Malformed);
        reply = goodReply();
        reply["hits"][0]["score"] = 6;
        CPPUNIT_ASSERT(status(reply.dump()) == leaf_error::Malformed);
        const std::string whole = goodReply().dump();
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(status(whole.substr(0, size)) == leaf_error::Malformed);
    }

    /// Guards against reporting "not run" for a request that may have run (P4).
    void ambiguousFailureIsNotReportedAsNotRun()
    {
        const auto transport = [this](transport_error error) {
            return errorOf(http::transport_failure{error, ""});
        };
        CPPUNIT_ASSERT(transport(transport_error::ConnectFailed) == leaf_error::NotConnected);
        CPPUNIT_ASSERT(transport(transport_error::ConnectionLost) == leaf_error::ConnectionLost);
        CPPUNIT_ASSERT(transport(transport_error::Timeout) == leaf_error::Timeout);
        const auto refused = [](int code, const char *body) {
            return http::response{code, {{"Retry-After", "2"}}, body};
        };
        const auto overloaded = std::get<leaf_failure>(
            finish(refused(503, R"({"title":"overloaded","execution":"not-run"})")));
        CPPUNIT_ASSERT(overloaded.error == leaf_error::Overloaded);
        CPPUNIT_ASSERT(overloaded.retryAfter == std::chrono::seconds(2));
        CPPUNIT_ASSERT(errorOf(refused(503, R"({"title":"overloaded"})")) == leaf_error::Failed);
        CPPUNIT_ASSERT(errorOf(refused(503, "<html>")) == leaf_error::Failed);
        CPPUNIT_ASSERT(errorOf(refused(409, "{}")) == leaf_error::Failed);
        CPPUNIT_ASSERT(errorOf(refused(409, R"({"held":[]})")) == leaf_error::VersionNotHeld);
        CPPUNIT_ASSERT(errorOf(refused(499, "")) == leaf_error::Cancelled);
        CPPUNIT_ASSERT(errorOf(refused(504, "")) == leaf_error::Timeout);
    }

    /// Guards against events for malformed health reports.
    void malformedHealthReportSendsNoEvent()
    {
        backend_client client(m_http, m_metrics, {"h"}, 3, sink());
        for (const char *body :
             {"", "[]", R"({"status":"ok"})", R"({"status":"ok","held":{"s":{"1":[{}]}}})"}) {
            client.carryOut(poll_health{{"b"}, peer});
            m_http.sent.back().onDone(http::response{200, {}, body});
        }
        CPPUNIT_ASSERT(m_events.empty());
        client.carryOut(poll_health{{"b"}, peer});
        m_http.sent.back().onDone(http::response{
            200,
            {},
            R"({"status":"draining","held":{"s":{"1":[{"partitioning":2,"version":8}]}}})"});
        const auto &health = std::get<leaf_health_reported>(m_events.back()).health;
        CPPUNIT_ASSERT(health.draining);
        CPPUNIT_ASSERT((health.shards[0].held == std::vector<snapshot>{{2, 8}}));
    }

    /// Guards against reporting a change that took effect as not applied.
    void lostResponseToPlatformChangeIsUnknown()
    {
        using method = platform_call::method_kind;
        using status = platform_result::status_kind;
        const auto lost = http::transport_failure{transport_error::Timeout, ""};
        const auto unsent = http::transport_failure{transport_error::ConnectFailed, ""};
        const auto answer = [](int code, http::header_list headers, std::string body) {
            return http::response{code, std::move(headers), std::move(body)};
        };
        CPPUNIT_ASSERT(call(method::Create, lost).status == status::Unknown);
        CPPUNIT_ASSERT(call(method::Create, unsent).status == status::Unavailable);
        CPPUNIT_ASSERT(call(method::Get, lost).status == status::Unavailable);
        CPPUNIT_ASSERT(call(method::Create, answer(500, {}, "")).status == status::Unknown);
        CPPUNIT_ASSERT(call(method::Create, answer(503, {}, "")).status == status::Unavailable);
        CPPUNIT_ASSERT(call(method::Create, answer(201, {}, "")).status == status::Unknown);
        CPPUNIT_ASSERT(call(method::Update, answer(412, {}, "x")).status == status::Unavailable);
        CPPUNIT_ASSERT(call(method::Watch, answer(304, {}, "")).status == status::NotModified);
        const auto created = call(method::Create, answer(201, {{"ETag", "\"1\""}}, ""));
        CPPUNIT_ASSERT(created.status == status::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, created.version);
        const auto conflict = call(
            method::Create,
            answer(412, {}, R"({"kind":"claim","name":"n","version":3,"value":{"b":1,"a":2}})"));
        CPPUNIT_ASSERT(conflict.status == status::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":2,"b":1})"), conflict.value);
        const auto foreign =
            answer(200, {}, R"({"kind":"claim","name":"m","version":3,"value":{}})");
        CPPUNIT_ASSERT(call(method::Get, foreign).status == status::Unavailable);
    }

    /// Guards against unconditional changes, which could overwrite a claim.
    void platformChangesAreConditional()
    {
        using method = platform_call::method_kind;
        const http::response missing{404, {}, ""};
        call(method::Create, missing);
        CPPUNIT_ASSERT_EQUAL(
            std::string("*"),
            *http::findHeader(m_http.sent.back().message.headers, "If-None-Match"));
        call(method::Update, missing);
        CPPUNIT_ASSERT_EQUAL(std::string("\"4\""),
                             *http::findHeader(m_http.sent.back().message.headers, "If-Match"));
        call(method::Watch, missing);
        CPPUNIT_ASSERT(m_http.sent.back().timeout > std::chrono::milliseconds(100));
        CPPUNIT_ASSERT((m_http.sent.back().message.query
                        == http::header_list{{"after", "4"}, {"wait_ms", "100"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outgoing_clients_test);

} // namespace waxwing
