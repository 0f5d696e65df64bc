#include "http/loop_fixture.h"
#include "http/raw_listener.h"
#include "platform/platform_wire.h"
#include "relay_host/memory_settings.h"
#include "relay_host/peer_server.h"
#include "relay_host/request_forwarder.h"
#include "relay_host/store_client.h"
#include "support/manual_clock.h"
#include "support/silent_logger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

/// Tests answers that arrive a second time, late or in part on connections between hosts that are
/// in use again. The answers are those of a real `peer_server`; a listener in between sends them.
class late_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_answer_test);
    CPPUNIT_TEST(secondCopyOfAForwardedAnswerIsDropped);
    CPPUNIT_TEST(secondCopyInPiecesIsDropped);
    CPPUNIT_TEST(secondCopyIsNotTheAnswerToARepeatOfTheCaller);
    CPPUNIT_TEST(secondCopyOfAStoreAnswerIsDropped);
    CPPUNIT_TEST(restOfACancelledAnswerReachesNoOtherCall);
    CPPUNIT_TEST(storeAnswersOfHostsWithoutEchoAreAccepted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        auto server = peer_server::create(
            m_loop.base(), m_loopTime, {"127.0.0.1", 0}, m_wire, m_profile, m_memory, m_rejections,
            [](const endpoint & /*sender*/) { return true; },
            [this](relay_event_body body) { m_received.push_back(std::move(body)); });
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
        const auto sink = [this](relay_event_body body) {
            if (!std::holds_alternative<forward_acknowledged>(body))
                m_outcomes.push_back(std::move(body));
        };
        m_forwarder = std::make_unique<request_forwarder>(m_loop.base(), m_time, "127.0.0.1",
                                                          memory_settings{}.bufferedAnswer, m_wire,
                                                          m_memory, sink);
        m_store = std::make_unique<store_client>(m_loop.base(), m_time, store_client_settings{},
                                                 m_wire, m_memory, m_metrics, m_profile, sink);
        m_peer = std::make_unique<http::raw_listener>();
    }
    void tearDown() override
    {
        m_store.reset();
        m_forwarder.reset();
        m_server.reset();
    }

    /// Guards against a caller who gets the answer to another caller's request: the other host
    /// sends it twice, the second time after the connection is in use again.
    void secondCopyOfAForwardedAnswerIsDropped()
    {
        for (const bool inPieces : {false, true})
            for (const auto &[first, second] : answerPairs())
                checkSecondCopy(first, second, inPieces);
    }

    /// Guards against the end of a second copy that is taken for the beginning of the next answer.
    void secondCopyInPiecesIsDropped()
    {
        forward(1);
        const std::string first = forwardedAnswer(takeRequest(), merged_answer{{"s1"}, 0, "one"});
        m_peer->write(0, first);
        waitForOutcome();
        // The connection is idle when the first half arrives; it must not be used again.
        m_peer->write(0, first.substr(0, first.size() / 2));
        forward(2);
        const std::string request = takeRequest();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_peer->peers.size());
        m_peer->write(1, forwardedAnswer(request, merged_answer{{"s2"}, 0, "two"}));
        CPPUNIT_ASSERT_EQUAL(std::string("two"),
                             std::get<forward_answered>(waitForOutcome()).reply.body);
    }

    /// Guards against a caller who repeats its id and gets the answer to its earlier request.
    void secondCopyIsNotTheAnswerToARepeatOfTheCaller()
    {
        forward(1, "id");
        const std::string first = forwardedAnswer(takeRequest(), merged_answer{{"s1"}, 0, "one"});
        m_peer->write(0, first);
        waitForOutcome();
        forward(2, "id");
        const std::string second = forwardedAnswer(takeRequest(), merged_answer{{"s2"}, 0, "two"});
        m_peer->write(0, first);
        m_peer->write(m_peer->peers.size() - 1, second);
        CPPUNIT_ASSERT_EQUAL(std::string("two"),
                             std::get<forward_answered>(waitForOutcome()).reply.body);
    }

    /// Guards against a copy of the routes that is read as the list of servers, or older servers as
    /// newer ones.
    void secondCopyOfAStoreAnswerIsDropped()
    {
        callStore(store_object_kind::Routes, 1);
        const std::string first = storeAnswer(takeRequest(), 11);
        m_peer->write(0, first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, revisionOf(waitForOutcome()));
        callStore(store_object_kind::Servers, 2);
        const std::string second = storeAnswer(takeRequest(), 22);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peer->peers.size());
        m_peer->write(0, first + second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{22}, revisionOf(waitForOutcome()));
    }

    /// Guards against half of an answer, left by a cancelled request, before the next answer.
    void restOfACancelledAnswerReachesNoOtherCall()
    {
        forward(1);
        const std::string first = forwardedAnswer(takeRequest(), merged_answer{{"s1"}, 0, "one"});
        m_peer->write(0, first.substr(0, first.size() / 2));
        bool passed = false;
        m_loop.runUntil([&passed] { return std::exchange(passed, true); });
        m_forwarder->carryOut(cancel_forward{{1}});
        forward(2);
        const std::string second = forwardedAnswer(takeRequest(), merged_answer{{"s2"}, 0, "two"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_peer->peers.size());
        // The socket may be closed by now.
        (void)::send(m_peer->peers[0], first.data(), first.size() / 2, MSG_NOSIGNAL);
        m_peer->write(1, second);
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT(answered.attempt == attempt_id{2});
        CPPUNIT_ASSERT_EQUAL(std::string("two"), answered.reply.body);
    }

    /// Guards against hosts that learn nothing from hosts of build c47b57e, which echo no id.
    void storeAnswersOfHostsWithoutEchoAreAccepted()
    {
        callStore(store_object_kind::Routes, 1);
        takeRequest();
        m_peer->write(0,
                      "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n"
                      R"({"events":[],"currentRev":7})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, revisionOf(waitForOutcome()));
    }

private:
    /// Answer of a server that does not echo the id of the request.
    static leaf_reply replyWith(const std::string &body)
    {
        leaf_reply result;
        result.body = body;
        return result;
    }
    static std::vector<std::pair<relay_answer, relay_answer>> answerPairs()
    {
        return {{replyWith("one"), replyWith("two")},
                {merged_answer{{"s1"}, 0, "one"}, merged_answer{{"s2"}, 0, "two"}},
                {refusal{503, "unavailable", "one", execution_state::NotRun, 0ms},
                 merged_answer{{"s2"}, 0, "two"}}};
    }
    void checkSecondCopy(const relay_answer &first, const relay_answer &second, bool inPieces)
    {
        m_peer = std::make_unique<http::raw_listener>();
        forward(1);
        const std::string firstBytes = forwardedAnswer(takeRequest(), first);
        m_peer->write(0, firstBytes);
        waitForOutcome();
        forward(2);
        const std::string secondBytes = forwardedAnswer(takeRequest(), second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peer->peers.size());
        const std::string all = firstBytes + secondBytes;
        const std::size_t cut = inPieces ? firstBytes.size() - 1 : all.size();
        m_peer->write(0, all.substr(0, cut));
        bool passed = false;
        m_loop.runUntil([&passed] { return std::exchange(passed, true); });
        if (cut < all.size())
            m_peer->write(0, all.substr(cut));
        const auto answered = std::get<forward_answered>(waitForOutcome());
        CPPUNIT_ASSERT(answered.attempt == attempt_id{2});
        CPPUNIT_ASSERT_EQUAL(std::string("two"), answered.reply.body);
        CPPUNIT_ASSERT(http::findField(answered.reply.fields, "X-Waxwingdyke-Request-Id")
                       == nullptr);
    }
    void forward(std::uint64_t number) { forward(number, "id-" + std::to_string(number)); }
    void forward(std::uint64_t number, const std::string &callerId)
    {
        relay_request request;
        request.method = "GET";
        request.target = "/a";
        request.callerId = callerId;
        request.fields = {{"Host", "x"}, {"X-Waxwingdyke-Request-Id", request.callerId}};
        m_forwarder->carryOut(forward_request{{number},
                                              {{"host-1"}, 7, 2},
                                              m_peer->address(),
                                              std::make_shared<const relay_request>(request),
                                              m_time.at + 5s});
    }
    void callStore(store_object_kind kind, std::uint64_t number)
    {
        m_store->carryOut(
            call_store{{kind, number, watch_call{3, 500ms, 0}, m_peer->address(), false}});
    }
    /// Takes the request that has arrived at the listener.
    std::string takeRequest()
    {
        m_peer->received.clear();
        m_loop.runUntil([this] {
            m_peer->poll();
            return m_peer->received.ends_with("\r\n\r\n");
        });
        return std::exchange(m_peer->received, {});
    }
    /// What the server sends for `request` once `answer` has answered its event.
    std::string answerBytes(const std::string &request,
                            const std::function<void(const relay_event_body &)> &answer)
    {
        m_received.clear();
        http::raw_connection caller(m_server->localEndpoint());
        caller.write(request);
        m_loop.runUntil([this] { return !m_received.empty(); });
        answer(m_received.front());
        m_loop.runUntil([&caller] {
            caller.poll();
            return !caller.received.empty();
        });
        return caller.received;
    }
    std::string forwardedAnswer(const std::string &request, const relay_answer &answer)
    {
        return answerBytes(request, [&](const relay_event_body &body) {
            m_server->carryOut(answer_forwarded{std::get<request_received>(body).id, answer});
        });
    }
    std::string storeAnswer(const std::string &request, std::uint64_t revision)
    {
        return answerBytes(request, [&](const relay_event_body &body) {
            m_server->carryOut(answer_peer{{std::get<peer_request_received>(body).id},
                                           store_answer{{}, false, revision},
                                           false,
                                           0});
        });
    }
    static std::uint64_t revisionOf(const relay_event_body &body)
    {
        return std::get<store_answer>(std::get<store_call_ended>(body).outcome).revision;
    }
    relay_event_body waitForOutcome()
    {
        m_loop.runUntil([this] { return !m_outcomes.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_outcomes.size());
        return std::exchange(m_outcomes, {}).front();
    }

    http::test_loop m_loop;
    manual_clock m_time;
    loop_clock m_loopTime{m_time};
    platform::platform_wire m_wire;
    metrics_registry m_metrics;
    pass_profile m_profile;
    silent_logger m_log;
    rejection_log m_rejections{m_time, m_log, m_metrics};
    memory_budget m_memory = *memory_budget::create({});
    std::vector<relay_event_body> m_received;
    std::vector<relay_event_body> m_outcomes;
    std::unique_ptr<peer_server> m_server;
    std::unique_ptr<request_forwarder> m_forwarder;
    std::unique_ptr<store_client> m_store;
    std::unique_ptr<http::raw_listener> m_peer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_answer_test);

} // namespace
} // namespace waxwing::relay
