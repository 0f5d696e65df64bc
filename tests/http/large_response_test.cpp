#include "http/client_pool.h"
#include "http/loop_fixture.h"
#include "http/raw_listener.h"
#include "http/raw_server.h"
#include "support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::http {
namespace {

using namespace std::chrono_literals;

/// Tests responses in pieces: how a client receives them, and how a server sends them.
class large_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(large_response_test);
    CPPUNIT_TEST(responseOverTheLimitComesInPieces);
    CPPUNIT_TEST(connectionServesTheNextCall);
    CPPUNIT_TEST(brokenResponseIsNotWhole);
    CPPUNIT_TEST(stalledResponseEnds);
    CPPUNIT_TEST(pausedResponseIsNotRead);
    CPPUNIT_TEST(connectionThatWasPausedAtTheEndServesTheNextCall);
    CPPUNIT_TEST(unwantedResponseFails);
    CPPUNIT_TEST(lateCopyOverTheLimitIsNotPassedOn);
    CPPUNIT_TEST(piecesReachThePeerWithTheirFraming);
    CPPUNIT_TEST(peerWithoutChunksIsNotMisled);
    CPPUNIT_TEST(endBeforeTheLastPieceIsSeen);
    CPPUNIT_TEST(slowPeerHoldsThePiecesBack);
    CPPUNIT_TEST(peerThatLeavesIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        client_pool_settings settings;
        settings.messages.bodyBytes = 100;
        m_pool = std::make_unique<client_pool>(
            m_loop.base(), m_time, settings,
            [this](attempt_id /*id*/, client_pool::outcome outcome) {
                m_outcome = std::move(outcome);
            },
            nullptr);
        m_pool->observeStreams(
            {[this](const call & /*request*/, const raw_response &start,
                    std::optional<std::uint64_t> length) {
                 m_body = start.content.body;
                 m_length = length;
                 ++m_begun;
                 return m_isWanted;
             },
             [this](attempt_id id, const std::string &bytes) {
                 m_body += bytes;
                 if (m_pausesAfterPieces)
                     m_pool->pause(id);
             },
             [this](attempt_id /*id*/, std::optional<call_failure> failure) { m_end = failure; }});
        auto created = raw_server::create(
            m_loop.base(), m_time, {},
            {[this](request_id id, const raw_request & /*message*/) { m_requests.push_back(id); },
             [this](request_id id) { m_gone.push_back(id); },
             {},
             {},
             {},
             [this](request_id id) { m_taken.push_back(id); }});
        CPPUNIT_ASSERT(created.ok());
        m_server = *std::move(created);
    }
    void tearDown() override
    {
        m_pool.reset();
        m_server.reset();
    }

    void responseOverTheLimitComesInPieces()
    {
        send(1);
        m_listener.write(0, head(250) + std::string(101, 'a'));
        m_loop.runUntil([this] { return m_body.size() == 101; });
        CPPUNIT_ASSERT(m_length == std::uint64_t{250});
        CPPUNIT_ASSERT(!m_end.has_value());
        m_listener.write(0, std::string(149, 'b'));
        m_loop.runUntil([this] { return m_end.has_value(); });
        CPPUNIT_ASSERT(*m_end == std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::string(101, 'a') + std::string(149, 'b'), m_body);
        CPPUNIT_ASSERT(!m_outcome.has_value());
    }

    /// Guards against calls that wait for, or get, what is left of a large response.
    void connectionServesTheNextCall()
    {
        responseOverTheLimitComesInPieces();
        send(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_listener.peers.size());
        m_listener.write(0, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok");
        m_loop.runUntil([this] { return m_outcome.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), std::get<raw_response>(*m_outcome).content.body);
    }

    /// Guards against half a large answer that looks whole.
    void brokenResponseIsNotWhole()
    {
        send(1);
        m_listener.write(0, head(250) + std::string(101, 'a'));
        m_loop.runUntil([this] { return m_begun == 1; });
        m_listener.close(0);
        m_loop.runUntil([this] { return m_end.has_value(); });
        CPPUNIT_ASSERT(*m_end == call_failure::ConnectionLost);
    }

    /// Guards against a server that stops in the middle, after the time of the request is over.
    void stalledResponseEnds()
    {
        send(1);
        m_listener.write(0, head(250) + std::string(101, 'a'));
        m_loop.runUntil([this] { return m_begun == 1; });
        m_time.at += 11s;
        m_loop.runUntil([this] { return m_end.has_value(); });
        CPPUNIT_ASSERT(*m_end == call_failure::ConnectionLost);
    }

    void pausedResponseIsNotRead()
    {
        send(1);
        m_listener.write(0, head(250) + std::string(101, 'a'));
        m_loop.runUntil([this] { return m_begun == 1; });
        m_pool->pause({1});
        m_listener.write(0, std::string(149, 'b'));
        m_time.at += 60s;
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{101}, m_body.size());
        CPPUNIT_ASSERT(!m_end.has_value());
        m_pool->resume({1});
        m_loop.runUntil([this] { return m_end.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{250}, m_body.size());
    }

    /// Guards against a connection that is kept for the next call and not read any more, since the
    /// peer had to wait after the last piece.
    void connectionThatWasPausedAtTheEndServesTheNextCall()
    {
        m_pausesAfterPieces = true;
        connectionServesTheNextCall();
    }

    void unwantedResponseFails()
    {
        m_isWanted = false;
        send(1);
        m_listener.write(0, head(250) + std::string(101, 'a'));
        m_loop.runUntil([this] { return m_outcome.has_value(); });
        CPPUNIT_ASSERT(std::get<call_failure>(*m_outcome) == call_failure::Malformed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_listener.address()));
    }

    /// Guards against the answer to another request.
    void lateCopyOverTheLimitIsNotPassedOn()
    {
        send(1);
        m_listener.write(
            0, "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 250\r\n\r\n" + std::string(250, 'a'));
        m_loop.runUntil([this] { return m_outcome.has_value(); });
        CPPUNIT_ASSERT(std::get<call_failure>(*m_outcome) == call_failure::Malformed);
        CPPUNIT_ASSERT_EQUAL(0, m_begun);
    }

    void piecesReachThePeerWithTheirFraming()
    {
        raw_connection peer(m_server->localEndpoint());
        const request_id first = ask(peer, "1.1");
        CPPUNIT_ASSERT(m_server->beginResponse(first, {200, {}, {}}, 5));
        CPPUNIT_ASSERT(m_server->continueResponse(first, "abc"));
        CPPUNIT_ASSERT(m_server->hasUnsentBytes());
        CPPUNIT_ASSERT(m_server->continueResponse(first, "de"));
        m_server->endResponse(first, true);
        CPPUNIT_ASSERT(!m_server->hasUnsentBytes());
        waitFor(peer, "Content-Length: 5\r\n\r\nabcde");
        // The connection serves a further request.
        const request_id second = ask(peer, "1.1");
        CPPUNIT_ASSERT(m_server->beginResponse(second, {200, {}, {}}, std::nullopt));
        m_server->continueResponse(second, "abc");
        m_server->continueResponse(second, "");
        m_server->continueResponse(second, "defghijklmnopqrs");
        m_server->endResponse(second, true);
        waitFor(
            peer,
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\ndefghijklmnopqrs\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(!peer.closed);
    }

    /// Guards against chunks that a peer takes for the body.
    void peerWithoutChunksIsNotMisled()
    {
        raw_connection peer(m_server->localEndpoint());
        const request_id request = ask(peer, "1.0");
        CPPUNIT_ASSERT(!m_server->beginResponse(request, {200, {}, {}}, std::nullopt));
        waitForClose(peer);
        CPPUNIT_ASSERT(peer.received.empty());
    }

    void endBeforeTheLastPieceIsSeen()
    {
        for (const auto length :
             {std::optional<std::uint64_t>(5), std::optional<std::uint64_t>()}) {
            raw_connection peer(m_server->localEndpoint());
            const request_id request = ask(peer, "1.1");
            m_server->beginResponse(request, {200, {}, {}}, length);
            m_server->continueResponse(request, "abc");
            m_server->endResponse(request, false);
            waitForClose(peer);
            CPPUNIT_ASSERT(peer.received.find("abc") != std::string::npos);
            CPPUNIT_ASSERT(peer.received.find("0\r\n\r\n") == std::string::npos);
        }
        CPPUNIT_ASSERT(m_gone.empty());
    }

    /// Guards against a server that is read faster than its answer is taken.
    void slowPeerHoldsThePiecesBack()
    {
        raw_connection peer(m_server->localEndpoint(), true);
        const request_id request = ask(peer, "1.1");
        m_server->beginResponse(request, {200, {}, {}}, std::nullopt);
        const std::string piece(std::size_t{64} * 1024, 'x');
        int pieces = 0;
        while (m_server->continueResponse(request, piece))
            CPPUNIT_ASSERT(++pieces < 20);
        CPPUNIT_ASSERT(m_taken.empty());
        m_loop.runUntil([this, &peer] {
            peer.poll();
            return !m_taken.empty();
        });
        CPPUNIT_ASSERT(m_taken == std::vector<request_id>{request});
        CPPUNIT_ASSERT(m_server->continueResponse(request, piece));
    }

    void peerThatLeavesIsReported()
    {
        raw_connection peer(m_server->localEndpoint(), true);
        const request_id request = ask(peer, "1.1");
        m_server->beginResponse(request, {200, {}, {}}, std::nullopt);
        m_server->continueResponse(request, "abc");
        peer.close();
        m_loop.runUntil([this] { return m_gone.size() == 1; });
        CPPUNIT_ASSERT(!m_server->continueResponse(request, "d"));
        m_server->endResponse(request, true);
    }

private:
    static std::string head(std::size_t length)
    {
        return "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n";
    }
    void send(std::uint64_t id)
    {
        const std::string echo = std::to_string(id);
        call request{{id},
                     m_listener.address(),
                     "GET / HTTP/1.1\r\nX-Id: " + echo + "\r\n\r\n",
                     false,
                     "X-Id",
                     echo};
        request.mayStream = true;
        m_pool->send(request);
        m_listener.received.clear();
        m_loop.runUntil([this] {
            m_listener.poll();
            return m_listener.received.find("\r\n\r\n") != std::string::npos;
        });
    }
    request_id ask(const raw_connection &peer, const std::string &version)
    {
        peer.write("GET / HTTP/" + version + "\r\nHost: h\r\n\r\n");
        const std::size_t before = m_requests.size();
        m_loop.runUntil([this, before] { return m_requests.size() > before; });
        return m_requests.back();
    }
    void run()
    {
        int passes = 0;
        m_loop.runUntil([&passes] { return ++passes > 10; });
    }
    void waitFor(raw_connection &peer, const std::string &text)
    {
        m_loop.runUntil([&peer, &text] {
            peer.poll();
            return peer.received.find(text) != std::string::npos;
        });
    }
    void waitForClose(raw_connection &peer)
    {
        m_loop.runUntil([&peer] {
            peer.poll();
            return peer.closed;
        });
    }

    test_loop m_loop;
    manual_clock m_time;
    raw_listener m_listener;
    std::unique_ptr<client_pool> m_pool;
    std::unique_ptr<raw_server> m_server;
    std::optional<client_pool::outcome> m_outcome;
    bool m_isWanted = true;
    bool m_pausesAfterPieces = false;
    int m_begun = 0;
    std::string m_body;
    std::optional<std::uint64_t> m_length;
    /// Set when a response in pieces ended; holds why it is not whole.
    std::optional<std::optional<call_failure>> m_end;
    std::vector<request_id> m_requests;
    std::vector<request_id> m_gone;
    std::vector<request_id> m_taken;
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_response_test);

} // namespace
} // namespace waxwing::http
