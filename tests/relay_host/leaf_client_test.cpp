#include "relay_host/leaf_client.h"

#include "http/loop_fixture.h"
#include "http/raw_listener.h"
#include "platform/platform_wire.h"
#include "support/manual_clock.h"

#include <absl/strings/numbers.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class leaf_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaf_client_test);
    CPPUNIT_TEST(statesTheTimeThatIsLeftAtTheWrite);
    CPPUNIT_TEST(sendsNothingAfterTheDeadline);
    CPPUNIT_TEST(lateCopyOfARefusalIsNotTheAnswerToTheNextTry);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_client = std::make_unique<leaf_client>(
            m_loop.base(), m_time, http::client_pool_settings{}, m_wire, m_metrics,
            [this](relay_event_body body) { m_events.push_back(std::move(body)); });
    }
    void tearDown() override { m_client.reset(); }

    /// Guards against a server that works on after its caller has left, because the loop was busy
    /// between the decision to send the request and the time at which the connection was open.
    void statesTheTimeThatIsLeftAtTheWrite()
    {
        send(500ms);
        m_time.at += 300ms;
        m_loop.runUntil([this] {
            m_peer.poll();
            return m_peer.received.ends_with("\r\n\r\n");
        });
        CPPUNIT_ASSERT_EQUAL(200, statedTimeLeft());
    }

    /// Guards against a request that is run although nobody waits for its answer any more.
    void sendsNothingAfterTheDeadline()
    {
        send(200ms);
        m_time.at += 300ms;
        m_loop.runUntil([this] {
            m_peer.poll();
            return !m_events.empty() || !m_peer.received.empty();
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), m_peer.received);
        const auto *failed = std::get_if<leaf_failed>(&m_events.at(0));
        CPPUNIT_ASSERT(failed != nullptr && failed->reason == leaf_failure::DeadlinePassed);
    }

    /// Guards against a request that runs twice: its server refuses the first try, accepts the
    /// second one, and sends the refusal once more in front of the answer.
    void lateCopyOfARefusalIsNotTheAnswerToTheNextTry()
    {
        const std::string id = "X-Waxwingdyke-Request-Id: id-1\r\n";
        const std::string refusal = "HTTP/1.1 503 X\r\n" + id
            + "X-Waxwingdyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        sendTry(1);
        m_peer.write(0, refusal);
        m_loop.runUntil([this] { return m_events.size() == 1; });
        CPPUNIT_ASSERT(std::get<leaf_answered>(m_events[0]).reply.notRun);
        sendTry(2);
        m_peer.write(0, refusal);
        m_peer.write(m_peer.peers.size() - 1,
                     "HTTP/1.1 200 X\r\n" + id + "Content-Length: 0\r\n\r\n");
        m_loop.runUntil([this] { return m_events.size() == 2; });
        const auto &answered = std::get<leaf_answered>(m_events[1]);
        CPPUNIT_ASSERT(answered.attempt == attempt_id{2});
        CPPUNIT_ASSERT_EQUAL(200, answered.reply.status);
    }

private:
    void send(std::chrono::milliseconds timeLeft, std::uint64_t attempt = 1)
    {
        relay_request request;
        request.method = "GET";
        request.target = "/a/b";
        request.callerId = "id-1";
        m_client->carryOut(send_to_leaf{{attempt},
                                        {"server-1"},
                                        m_peer.address(),
                                        std::make_shared<const relay_request>(request),
                                        m_time.at + timeLeft});
    }
    /// Sends the request and waits for its arrival.
    void sendTry(std::uint64_t attempt)
    {
        m_peer.received.clear();
        send(500ms, attempt);
        m_loop.runUntil([this] {
            m_peer.poll();
            return m_peer.received.ends_with("\r\n\r\n");
        });
    }
    /// Time in the request that the server received, in milliseconds.
    int statedTimeLeft() const
    {
        constexpr std::string_view field = "X-Waxwingdyke-Deadline-Ms: ";
        const std::size_t at = m_peer.received.find(field) + field.size();
        int result = 0;
        CPPUNIT_ASSERT(absl::SimpleAtoi(
            m_peer.received.substr(at, m_peer.received.find("\r\n", at) - at), &result));
        return result;
    }

    http::test_loop m_loop;
    manual_clock m_time;
    platform::platform_wire m_wire;
    metrics_registry m_metrics;
    http::raw_listener m_peer;
    std::vector<relay_event_body> m_events;
    std::unique_ptr<leaf_client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaf_client_test);

} // namespace
} // namespace waxwing::relay
