#include "http/message_parser.h"
#include "membership/gossip_codec.h"
#include "platform/platform_wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <string>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

/// Bytes as the build c47b57e sends them.
std::string recorded(const std::string &name)
{
    std::ifstream file(std::string(WAXWING_TESTS_DIR) + "/compatibility/" + name, std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE(name, file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

http::raw_request requestOf(const std::string &bytes)
{
    http::message_parser parser(http::message_parser::message_kind::Request, {});
    parser.read(bytes);
    CPPUNIT_ASSERT(parser.isComplete());
    return parser.takeRequest();
}

http::raw_response responseOf(const std::string &bytes)
{
    http::message_parser parser(http::message_parser::message_kind::Response, {});
    parser.read(bytes);
    CPPUNIT_ASSERT(parser.isComplete());
    return parser.takeResponse();
}

gossip_message recordedGossip()
{
    const member self{{"host-a"},
                      {"zone-1"},
                      {"127.0.0.1", 7001},
                      {"127.0.0.1", 7002},
                      1700000000123,
                      member_state::Alive,
                      41,
                      200};
    const member left{{"host-b"},
                      {"zone-2"},
                      {"127.0.0.1", 7003},
                      {"127.0.0.1", 7004},
                      1700000000456,
                      member_state::Leaving,
                      40,
                      20};
    return {gossip_message::message_kind::Members,
            self,
            0x1122334455667788,
            6,
            {"host-c"},
            {left, self},
            {{fact_kind::ServerLeaving, "server-9", {"host-a"}, 3, 0, 5000ms},
             {fact_kind::RequestQuarantined, "f00d", {"host-b"}, 8, 2, 60000ms}}};
}

/// Reads messages of hosts of the build c47b57e, which run beside those of this build while hosts
/// are replaced one by one. docs/design/compatibility.md states the rules.
class compatibility_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(compatibility_test);
    CPPUNIT_TEST(gossipIsReadAndWrittenAsBefore);
    CPPUNIT_TEST(unknownFieldsOfGossipAreIgnored);
    CPPUNIT_TEST(forwardedRequestsAreRead);
    CPPUNIT_TEST(answersToForwardedRequestsAreRead);
    CPPUNIT_TEST(storeCallsOfHostsAreRead);
    CPPUNIT_TEST(storeAnswersOfHostsAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hosts of two builds that do not know each other.
    void gossipIsReadAndWrittenAsBefore()
    {
        const std::string bytes = recorded("gossip.bin");
        CPPUNIT_ASSERT(decodeGossip(bytes) == recordedGossip());
        CPPUNIT_ASSERT(encodeGossip(recordedGossip()) == bytes);
    }

    /// Guards against a host that drops the datagrams of a later build because of a new field.
    void unknownFieldsOfGossipAreIgnored()
    {
        // Field 900 of the type varint, with the value 1.
        const std::string unknown{'\xa0', '\x38', '\x01'};
        CPPUNIT_ASSERT(decodeGossip(recorded("gossip.bin") + unknown) == recordedGossip());
    }

    /// Guards against requests of callers that are lost between hosts of two builds.
    void forwardedRequestsAreRead()
    {
        for (const bool hasUnknownField : {false, true}) {
            std::string bytes = recorded("forwarded_request.bin");
            if (hasUnknownField)
                bytes = http::withField(bytes, "Waxwing-Later", "x");
            const auto read = m_wire.readForwardedRequest(requestOf(bytes));
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT(read->origin == (relay::forwarding_origin{{"host-a"}, 7, 2}));
            CPPUNIT_ASSERT_EQUAL(std::string("POST"), read->request.method);
            CPPUNIT_ASSERT_EQUAL(std::string("/a/%2f?b=c"), read->request.target);
            CPPUNIT_ASSERT_EQUAL(std::string("id-1"), read->request.callerId);
            CPPUNIT_ASSERT_EQUAL(std::string("leno12.example"), read->request.hostName);
            CPPUNIT_ASSERT_EQUAL(std::string("body \x01"), read->request.body);
            CPPUNIT_ASSERT(read->request.timeLeft == 300ms);
            CPPUNIT_ASSERT(http::findField(read->request.fields, "Waxwing-Forwarded-By")
                           == nullptr);
        }
    }

    /// Guards against an answer of an older host, which has run the request, that is not taken for
    /// one, and against a host that did not understand the request taken for one that has run it.
    void answersToForwardedRequestsAreRead()
    {
        const auto answer = read("forwarded_answer.bin");
        CPPUNIT_ASSERT(answer.refusalCode.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("s.1"), answer.reply.signature);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), answer.reply.body);
        const auto merged = read("forwarded_merged_answer.bin");
        CPPUNIT_ASSERT(merged.refusalCode.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("merged"), merged.reply.body);
        CPPUNIT_ASSERT_EQUAL(
            std::string("s.1, s.2"),
            http::findHeader(merged.reply.fields, "X-Waxwingdyke-Part-Stamps").value_or(""));
        const auto refused = read("forwarded_refusal.bin");
        CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), refused.refusalCode);
        CPPUNIT_ASSERT_EQUAL(503, refused.reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_understood"),
                             read("unknown_form_answer.bin").refusalCode);
    }

    /// Guards against hosts of an older build that learn of no change through this one.
    void storeCallsOfHostsAreRead()
    {
        const auto call = m_wire.readStoreCall(requestOf(recorded("store_call.bin")));
        CPPUNIT_ASSERT(call.has_value());
        CPPUNIT_ASSERT(call->kind == relay::store_object_kind::Servers);
        CPPUNIT_ASSERT(std::get<relay::watch_call>(call->how)
                       == (relay::watch_call{41, 1000ms, 3}));
    }

    /// Guards against hosts that learn of no change through those of an older build, and against
    /// objects that a field of a later build makes unusable.
    void storeAnswersOfHostsAreRead()
    {
        relay::store_call call;
        call.kind = relay::store_object_kind::Servers;
        http::raw_response response = responseOf(recorded("store_answer.bin"));
        CPPUNIT_ASSERT(m_wire.readStoreEra(response) == 3U);
        // The entry was recorded without a field that every entry of a server has. A host passes
        // entries on as they are, so one without it is no server on any host.
        const auto incomplete = m_wire.readStoreOutcome(call, response);
        CPPUNIT_ASSERT(std::holds_alternative<relay::unusable_object>(
            std::get<relay::store_answer>(incomplete).objects.at(0).content));
        response.content.body.insert(response.content.body.find(R"("born")"), R"("sequence":7,)");
        for (const bool hasUnknownField : {false, true}) {
            if (hasUnknownField) {
                std::string &body = response.content.body;
                body.insert(body.find(R"("service")"), R"("later":{"a":[1,2]},)");
            }
            const auto outcome = m_wire.readStoreOutcome(call, response);
            const auto &answer = std::get<relay::store_answer>(outcome);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{43}, answer.revision);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.objects.size());
            const auto &server = std::get<relay::registered_server>(answer.objects[0].content);
            CPPUNIT_ASSERT(server.address == (endpoint{"10.0.0.9", 8080}));
            CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000789}, server.startedAt);
            CPPUNIT_ASSERT(answer.objects[1].removed);
        }
        const auto gone = m_wire.readStoreOutcome(call, responseOf(recorded("store_refusal.bin")));
        CPPUNIT_ASSERT(std::get<relay::store_failure>(gone) == relay::store_failure::HistoryGone);
    }

private:
    relay::forward_answered read(const std::string &name) const
    {
        return m_wire.readForwardedAnswer({1}, responseOf(recorded(name)));
    }

    platform::platform_wire m_wire;
};

CPPUNIT_TEST_SUITE_REGISTRATION(compatibility_test);

} // namespace
} // namespace waxwing
