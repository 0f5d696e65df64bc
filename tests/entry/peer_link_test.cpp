#include "entry/gossip_socket.h"
#include "entry/peer_client.h"
#include "entry/peer_codec.h"
#include "entry/peer_server.h"
#include "http/loop_fixture.h"
#include "support/silent_logger.h"

#include <limits>

namespace waxwing {
namespace {

template<typename Body>
const Body *lastOf(const std::vector<event_body> &events)
{
    return events.empty() ? nullptr : std::get_if<Body>(&events.back());
}

} // namespace

/// A server and a client in one loop, connected over loopback.
class peer_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_link_test);
    CPPUNIT_TEST(forwardsSearches);
    CPPUNIT_TEST(forwardsCommands);
    CPPUNIT_TEST(fetchesState);
    CPPUNIT_TEST(expiredPeerCallReportsCallerGone);
    CPPUNIT_TEST(tellsUnreachableFromLost);
    CPPUNIT_TEST(endsWithCallsInProgress);
    CPPUNIT_TEST(refusesMalformedMessages);
    CPPUNIT_TEST(dropsMalformedDatagrams);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    request_numbers m_numbers;
    metrics_registry m_metrics;
    silent_logger m_log;
    std::vector<event_body> m_received;
    std::vector<event_body> m_ended;
    std::unique_ptr<peer_server> m_server;
    std::unique_ptr<peer_client> m_client;

    static peer_state someState()
    {
        const member self{{"h1"}, {"z"}, {"127.0.0.1", 1}, {"127.0.0.1", 2}, 7, {}, 9};
        return {{self}, {}, "not a configuration"};
    }

    forward_search searchFor(std::chrono::milliseconds timeout) const
    {
        search_request request{
            {"s"}, "q", 3, page_cursor{{1, 2}, {"d", 0.5}}, timeout, "c", {1, 2, 3, true}};
        return {{4}, m_server->localEndpoint(), request};
    }

public:
    void setUp() override
    {
        auto server = peer_server::create(
            m_loop.base(), {"127.0.0.1", 0}, {}, m_numbers, m_metrics, [] { return someState(); },
            [this](event_body body) { m_received.push_back(std::move(body)); });
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
        m_client = std::make_unique<peer_client>(
            m_server->queue(), peer_limits{}, m_log,
            [this](event_body body) { m_ended.push_back(std::move(body)); });
    }
    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
    }

    /// Guards against losing fields of a forwarded search or its reply.
    void forwardsSearches()
    {
        const auto action = searchFor(std::chrono::milliseconds(4000));
        m_client->carryOut(action);
        m_loop.runUntil([&] { return lastOf<search_received>(m_received) != nullptr; });
        const auto &received = *lastOf<search_received>(m_received);
        CPPUNIT_ASSERT(received.forwarded);
        CPPUNIT_ASSERT(received.request == action.request);
        const search_answer answer{{"s"},
                                   {2, 8},
                                   {{"d1", 1.5}, {"d2", 0.1}},
                                   {50, 100, {{"s1"}}},
                                   page_cursor{{2, 8}, {"d2", 0.1}}};
        CPPUNIT_ASSERT(m_server->answer(received.id, search_outcome(answer)));
        CPPUNIT_ASSERT(!m_server->answer(received.id, search_outcome(answer)));
        m_loop.runUntil([&] { return lastOf<forwarded_search_finished>(m_ended) != nullptr; });
        const auto &ended = *lastOf<forwarded_search_finished>(m_ended);
        CPPUNIT_ASSERT(std::get<search_outcome>(ended.outcome) == search_outcome(answer));
    }

    /// Guards against encoding a refusal with "outcome unknown" as "not run" (P4).
    void forwardsCommands()
    {
        command_request request{
            {"s"}, "k", "d", "enrol", R"({"a":1})", std::chrono::milliseconds(4000), "", {}};
        m_client->carryOut(forward_command{{4}, m_server->localEndpoint(), request});
        m_loop.runUntil([&] { return lastOf<command_received>(m_received) != nullptr; });
        const auto &received = *lastOf<command_received>(m_received);
        CPPUNIT_ASSERT(received.request == request);
        const command_outcome outcome = refusal{
            503, "claimed", "x", execution_state::OutcomeUnknown, std::chrono::milliseconds(70)};
        m_server->answer(received.id, outcome);
        m_loop.runUntil([&] { return lastOf<forwarded_command_finished>(m_ended) != nullptr; });
        CPPUNIT_ASSERT(
            std::get<command_outcome>(lastOf<forwarded_command_finished>(m_ended)->outcome)
            == outcome);
    }

    /// Guards against starting hosts that receive no state or apply an invalid configuration.
    void fetchesState()
    {
        m_client->carryOut(fetch_peer_state{{4}, m_server->localEndpoint()});
        m_loop.runUntil([&] { return !m_ended.empty(); });
        const auto &fetched = *lastOf<peer_state_fetched>(m_ended);
        CPPUNIT_ASSERT(fetched.succeeded);
        CPPUNIT_ASSERT(fetched.state == someState());
        CPPUNIT_ASSERT(fetched.parsed.document == nullptr);
    }

    /// Guards against continuing work for a peer whose deadline has passed.
    void expiredPeerCallReportsCallerGone()
    {
        m_client->carryOut(searchFor(std::chrono::milliseconds(1)));
        m_loop.runUntil([&] { return !m_ended.empty(); });
        const auto &ended = *lastOf<forwarded_search_finished>(m_ended);
        CPPUNIT_ASSERT(std::get<forward_failure>(ended.outcome).mayHaveBeenReceived);
        if (m_received.empty())
            return; // The call was cancelled before it reached the server.
        m_loop.runUntil([&] { return lastOf<caller_gone>(m_received) != nullptr; });
    }

    /// Guards against a command that is refused as "may have run" although no peer was reached.
    void tellsUnreachableFromLost()
    {
        const endpoint closedEndpoint = m_server->localEndpoint();
        m_client.reset();
        m_server.reset();
        setUp();
        auto action = searchFor(std::chrono::milliseconds(4000));
        action.peer = closedEndpoint;
        m_client->carryOut(action);
        m_loop.runUntil([&] { return !m_ended.empty(); });
        const auto &ended = *lastOf<forwarded_search_finished>(m_ended);
        const auto &failure = std::get<forward_failure>(ended.outcome);
        CPPUNIT_ASSERT_MESSAGE(failure.detail, !failure.mayHaveBeenReceived);
    }

    /// Guards against a process that hangs or crashes when it exits with calls in progress.
    void endsWithCallsInProgress()
    {
        m_client->carryOut(searchFor(std::chrono::milliseconds(60000)));
        m_loop.runUntil([&] { return !m_received.empty(); });
        m_client->carryOut(searchFor(std::chrono::milliseconds(60000)));
        m_client.reset();
        m_server.reset();
        CPPUNIT_ASSERT(m_ended.empty());
    }

    /// Guards against scores that are not numbers, and payloads that are not JSON, in the state.
    void refusesMalformedMessages()
    {
        auto search = toWire(searchFor(std::chrono::milliseconds(1)).request);
        search.mutable_cursor()->mutable_after()->set_score(
            std::numeric_limits<double>::quiet_NaN());
        CPPUNIT_ASSERT(!fromWire(search).has_value());
        auto command = toWire(command_request{{"s"}, "k", "d", "o", "{", {}, "", {}});
        CPPUNIT_ASSERT(!fromWire(command).has_value());
        command.set_payload("{}");
        command.set_timeout_ms(std::numeric_limits<std::uint64_t>::max());
        CPPUNIT_ASSERT(!fromWire(command).has_value());
        CPPUNIT_ASSERT(!fromWire(wire::SearchReply()).has_value());
        CPPUNIT_ASSERT(!fromWire(wire::CommandReply()).has_value());
    }

    /// Guards against malformed datagrams that reach the reducer or stop the socket.
    void dropsMalformedDatagrams()
    {
        std::vector<event_body> events;
        const auto createSocket = [this, &events] {
            return *gossip_socket::create(
                m_loop.base(), {"127.0.0.1", 0}, m_metrics,
                [&events](event_body body) { events.push_back(std::move(body)); });
        };
        const auto receiver = createSocket();
        const auto sender = createSocket();
        const int raw = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(receiver->localEndpoint().port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (const std::string &text : {std::string(), std::string("\xff"), std::string(2000, 'x')})
            sendto(raw, text.data(), text.size(), 0, reinterpret_cast<sockaddr *>(&to), sizeof to);
        close(raw);
        gossip_message message;
        message.sender = someState().members[0];
        sender->carryOut(send_datagram{receiver->localEndpoint(), message});
        m_loop.runUntil([&] { return !events.empty(); });
        CPPUNIT_ASSERT(lastOf<datagram_received>(events)->message == message);
        CPPUNIT_ASSERT(lastOf<datagram_received>(events)->from == sender->localEndpoint());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_metrics.counter("gossip_malformed_total"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_link_test);

} // namespace waxwing
