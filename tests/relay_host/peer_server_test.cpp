#include "relay_host/peer_server.h"

#include "http/loop_fixture.h"
#include "http/raw_listener.h"
#include "memory_budget/memory_hold.h"
#include "platform/platform_wire.h"
#include "relay/forwarding_codes.h"
#include "relay_host/memory_settings.h"
#include "relay_host/request_forwarder.h"
#include "support/manual_clock.h"
#include "support/silent_logger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

/// Tests both ends of forwarded requests over real connections.
class peer_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_server_test);
    CPPUNIT_TEST(requestAndAnswerArriveUnchanged);
    CPPUNIT_TEST(requestsAreAcknowledgedBeforeTheirAnswer);
    CPPUNIT_TEST(refusalsArriveWithTheirCode);
    CPPUNIT_TEST(cancelledRequestIsReported);
    CPPUNIT_TEST(hostThatDoesNotListenIsReported);
    CPPUNIT_TEST(bodiesOfStrangersAreRefused);
    CPPUNIT_TEST(requestsWithoutRoomGoToTheNextHost);
    CPPUNIT_TEST(storeCallsAreNotTakenForRequests);
    CPPUNIT_TEST(unmarkedErrorsAreNotAnswers);
    CPPUNIT_TEST(errorsOfServersWithoutSignatureAreAnswers);
    CPPUNIT_TEST(marksDoNotReachCallersOfOlderHosts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        auto server = peer_server::create(
            m_loop.base(), m_loopTime, {"127.0.0.1", 0}, m_wire, m_profile, m_memory, m_rejections,
            [this](const endpoint &sender) { return sender.address == m_member; },
            [this](relay_event_body body) { m_received.push_back(std::move(body)); });
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
        m_forwarder = std::make_unique<request_forwarder>(
            m_loop.base(), m_time, "127.0.0.1", memory_settings{}.bufferedAnswer, m_wire,
            m_forwarderMemory, [this](relay_event_body body) {
                if (std::holds_alternative<forward_acknowledged>(body))
                    m_acknowledged.push_back(std::get<forward_acknowledged>(body).attempt);
                else
                    m_outcomes.push_back(std::move(body));
            });
    }
    void tearDown() override
    {
        m_forwarder.reset();
        m_server.reset();
    }

    /// Guards against a request or an answer that changes on the way over another host.
    void requestAndAnswerArriveUnchanged()
    {
        const auto sent = forward(m_server->localEndpoint());
        const request_received received = waitForRequest();
        CPPUNIT_ASSERT(received.origin == (forwarding_origin{{"host-1"}, 7, 2}));
        CPPUNIT_ASSERT_EQUAL(sent->method, received.request->method);
        CPPUNIT_ASSERT_EQUAL(sent->target, received.request->target);
        CPPUNIT_ASSERT_EQUAL(sent->body, received.request->body);
        CPPUNIT_ASSERT_EQUAL(sent->callerId, received.request->callerId);
        CPPUNIT_ASSERT_EQUAL(sent->hostName, received.request->hostName);
        CPPUNIT_ASSERT(received.request->fields == sent->fields);
        CPPUNIT_ASSERT(received.request->timeLeft == 300ms);

        leaf_reply reply;
        reply.status = 500;
        reply.fields = {{"X-Waxwingdyke-Response-Stamp", "s.1"}, {"X-Other", "a, b"}};
        reply.body = std::string("\0\r\nx", 4);
        m_server->carryOut(answer_forwarded{received.id, reply});
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT(answered.attempt == attempt_id{5});
        CPPUNIT_ASSERT_EQUAL(500, answered.reply.status);
        CPPUNIT_ASSERT(answered.reply.fields == reply.fields);
        CPPUNIT_ASSERT_EQUAL(reply.body, answered.reply.body);
        CPPUNIT_ASSERT(answered.refusalCode.empty());
    }

    /// Guards against anyone who makes the host hold bodies on its port for other hosts.
    void bodiesOfStrangersAreRefused()
    {
        m_member = "127.0.0.2";
        forward(m_server->localEndpoint());
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT_EQUAL(403, answered.reply.status);
        // The host that forwards tries another one.
        CPPUNIT_ASSERT_EQUAL(std::string(notUnderstoodCode), answered.refusalCode);
        CPPUNIT_ASSERT(m_received.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_log.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_metrics.counter("relay_memory_refusals_total_hosts_stranger"));
    }

    /// Guards against a request that a host without room answers instead of leaving it to others.
    void requestsWithoutRoomGoToTheNextHost()
    {
        memory_hold others(&m_memory, memory_use::Hosts);
        others.setHeld(m_memory.settings().bytes);
        forward(m_server->localEndpoint());
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT_EQUAL(503, answered.reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), answered.refusalCode);
        CPPUNIT_ASSERT(m_received.empty());
    }

    /// Guards against a refusal of another host that is taken for the answer of a server, and
    /// against one that loses the time to come back.
    void refusalsArriveWithTheirCode()
    {
        forward(m_server->localEndpoint());
        const refusal reason{503, "overloaded", "full", execution_state::NotRun, 250ms};
        m_server->carryOut(answer_forwarded{waitForRequest().id, reason});
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT_EQUAL(std::string("overloaded"), answered.refusalCode);
        CPPUNIT_ASSERT_EQUAL(503, answered.reply.status);
        const std::string *delay = http::findField(answered.reply.fields, "Retry-After");
        CPPUNIT_ASSERT(delay != nullptr && *delay == "0.250");
        CPPUNIT_ASSERT(http::findField(answered.reply.fields, "Waxwing-Refusal") == nullptr);
    }

    /// Guards against requests that are taken back from a host which works on them.
    void requestsAreAcknowledgedBeforeTheirAnswer()
    {
        forward(m_server->localEndpoint());
        m_loop.runUntil([this] { return !m_acknowledged.empty(); });
        CPPUNIT_ASSERT(m_acknowledged == std::vector<attempt_id>{{5}});
        CPPUNIT_ASSERT(m_outcomes.empty());
        leaf_reply reply;
        reply.signature = "s1";
        m_server->carryOut(answer_forwarded{waitForRequest().id, reply});
        CPPUNIT_ASSERT(std::holds_alternative<forward_answered>(waitForOutcome()));
    }

    /// Guards against a host that works on for a caller who has left the host that forwarded.
    void cancelledRequestIsReported()
    {
        forward(m_server->localEndpoint());
        const request_received received = waitForRequest();
        m_forwarder->carryOut(cancel_forward{{5}});
        m_loop.runUntil([this, &received] {
            return std::any_of(m_received.begin(), m_received.end(), [&](const auto &each) {
                const auto *gone = std::get_if<caller_gone>(&each);
                return gone != nullptr && gone->id == received.id;
            });
        });
        CPPUNIT_ASSERT(m_outcomes.empty());
    }

    /// Guards against a request that waits for a host that is gone.
    void hostThatDoesNotListenIsReported()
    {
        const endpoint gone = m_server->localEndpoint();
        m_server.reset();
        forward(gone);
        const auto failed = std::get<forward_failed>(waitForOutcome());
        CPPUNIT_ASSERT(failed.attempt == attempt_id{5});
        CPPUNIT_ASSERT(failed.reason == leaf_failure::NotSent);
    }

    /// Guards against calls of other hosts that are sent to servers, and against requests without
    /// the fields of a forwarded one that are answered.
    void storeCallsAreNotTakenForRequests()
    {
        http::raw_connection peer(m_server->localEndpoint());
        peer.write("GET /waxwingdyke/objects/servers?watch=3&waitMs=1000 HTTP/1.1\r\n"
                   "Host: x\r\n\r\n");
        m_loop.runUntil([this] { return !m_received.empty(); });
        CPPUNIT_ASSERT(std::holds_alternative<peer_request_received>(m_received.front()));
        http::raw_connection caller(m_server->localEndpoint());
        caller.write("GET /all/x HTTP/1.1\r\nHost: h\r\nWaxwing-Forwarded-By: h1\r\n\r\n");
        m_loop.runUntil([&caller] {
            caller.poll();
            return !caller.received.empty();
        });
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 400 "));
    }

    /// Guards against the bare status of a host that does not know the form of the request as the
    /// answer to the caller. Hosts of build c47b57e mark refusals only; answers of servers carry a
    /// signature there.
    void unmarkedErrorsAreNotAnswers()
    {
        const std::string empty = "Content-Length: 0\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("not_understood"),
                             answerOfOlderHost("HTTP/1.1 400 Bad Request\r\n" + empty));
        CPPUNIT_ASSERT_EQUAL(std::string("not_understood"),
                             answerOfOlderHost("HTTP/1.1 431 Too Large\r\n" + empty));
        CPPUNIT_ASSERT_EQUAL(
            std::string(),
            answerOfOlderHost("HTTP/1.1 404 Not Found\r\nX-Waxwingdyke-Response-Stamp: s\r\n"
                              + empty));
        CPPUNIT_ASSERT_EQUAL(std::string(), answerOfOlderHost("HTTP/1.1 200 OK\r\n" + empty));
        CPPUNIT_ASSERT_EQUAL(
            std::string("no_route"),
            answerOfOlderHost("HTTP/1.1 404 Not Found\r\nWaxwing-Refusal: no_route\r\n" + empty));
    }

    /// Guards against an answer of a server, which has run the request, that is taken for a host
    /// that cannot help: the request would run again.
    void errorsOfServersWithoutSignatureAreAnswers()
    {
        forward(m_server->localEndpoint());
        leaf_reply reply;
        reply.status = 404;
        m_server->carryOut(answer_forwarded{waitForRequest().id, reply});
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT_EQUAL(404, answered.reply.status);
        CPPUNIT_ASSERT(answered.refusalCode.empty());
        CPPUNIT_ASSERT(answered.reply.fields.empty());
    }

    /// Guards against fields of the hosts' protocol that a host of build c47b57e passes on to its
    /// caller. That build drops the fields that `Connection` names, and those it knows.
    void marksDoNotReachCallersOfOlderHosts()
    {
        const std::vector<relay_answer> answers{
            leaf_reply(), merged_answer{{"s"}, 0, "x"},
            refusal{503, "unavailable", "", execution_state::NotRun, 0ms}};
        for (const relay_answer &answer : answers) {
            const http::response formatted = m_wire.formatForwardedAnswer(answer);
            CPPUNIT_ASSERT(http::findField(formatted.headers, "Waxwing-Answer") != nullptr);
            http::header_list passedOn = http::endToEndFields(formatted.headers);
            std::erase_if(passedOn,
                          [](const auto &each) { return each.first == "Waxwing-Refusal"; });
            CPPUNIT_ASSERT(passedOn == http::endToEndFields(m_wire.formatAnswer(answer).headers));
        }
    }

private:
    /// Refusal code that is read from the answer `bytes` to a forwarded request.
    std::string answerOfOlderHost(const std::string &bytes)
    {
        http::raw_listener peer;
        m_outcomes.clear();
        forward(peer.address());
        m_loop.runUntil([&peer] {
            peer.poll();
            return !peer.received.empty();
        });
        peer.write(0, bytes);
        return std::get<forward_answered>(waitForOutcome()).refusalCode;
    }
    std::shared_ptr<const relay_request> forward(const endpoint &peer)
    {
        relay_request request;
        request.method = "POST";
        request.target = "/a/%2f?b=c";
        request.callerId = "id-1";
        request.hostName = "leno12.example";
        request.fields = {
            {"Host", "leno12.example"}, {"X-Waxwingdyke-Request-Id", "id-1"}, {"X-Kept", "2"}};
        request.body = std::string("\x01\r\n\xff\0", 5);
        auto shared = std::make_shared<const relay_request>(request);
        m_forwarder->carryOut(
            forward_request{{5}, {{"host-1"}, 7, 2}, peer, shared, m_time.at + 300ms});
        return shared;
    }
    request_received waitForRequest()
    {
        m_loop.runUntil([this] { return !m_received.empty(); });
        return std::get<request_received>(m_received.front());
    }
    relay_event_body waitForOutcome()
    {
        m_loop.runUntil([this] { return !m_outcomes.empty(); });
        return m_outcomes.front();
    }

    http::test_loop m_loop;
    manual_clock m_time;
    loop_clock m_loopTime{m_time};
    platform::platform_wire m_wire;
    pass_profile m_profile;
    silent_logger m_log;
    metrics_registry m_metrics;
    rejection_log m_rejections{m_time, m_log, m_metrics};
    memory_budget m_memory = *memory_budget::create({});
    memory_budget m_forwarderMemory = *memory_budget::create({});
    /// Address of the other host.
    std::string m_member = "127.0.0.1";
    std::vector<relay_event_body> m_received;
    std::vector<relay_event_body> m_outcomes;
    std::vector<attempt_id> m_acknowledged;
    std::unique_ptr<peer_server> m_server;
    std::unique_ptr<request_forwarder> m_forwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_server_test);

} // namespace
} // namespace waxwing::relay
