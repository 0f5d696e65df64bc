#include "http/client_pool.h"

#include "http/loop_fixture.h"
#include "http/raw_listener.h"
#include "memory_budget/memory_hold.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::http {
namespace {

std::string response(const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

class client_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_pool_test);
    CPPUNIT_TEST(keepsAConnectionForTheNextCall);
    CPPUNIT_TEST(dropsALateResponseToAnEarlierCall);
    CPPUNIT_TEST(closesAConnectionAfterAnExtraResponse);
    CPPUNIT_TEST(closesAnIdleConnectionOnWhichBytesArrive);
    CPPUNIT_TEST(tellsAResponseWithoutLengthFromABrokenOne);
    CPPUNIT_TEST(reportsTruncatedAndMalformedResponses);
    CPPUNIT_TEST(responsesCutInTheirHeadAreLost);
    CPPUNIT_TEST(endsResponsesWithoutEnd);
    CPPUNIT_TEST(endsAResponseWithoutRoom);
    CPPUNIT_TEST(reportsThatNothingWasSent);
    CPPUNIT_TEST(doesNotReuseAConnectionWhoseRequestIsNotSentWhole);
    CPPUNIT_TEST(closesTheConnectionOfACancelledCall);
    CPPUNIT_TEST(tellsAPeerWithoutRoomFromALostAnswer);
    CPPUNIT_TEST(respectsTheIdleTimeOfThePeer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        client_pool_settings settings;
        settings.connectTimeout = std::chrono::milliseconds(200);
        m_pool = std::make_unique<client_pool>(
            m_loop.base(), m_time, settings,
            [this](attempt_id id, client_pool::outcome outcome) {
                m_outcomes.emplace(id.value, std::move(outcome));
            },
            nullptr);
    }
    void tearDown() override { m_pool.reset(); }

    /// Guards against a new connection, which costs servers time, for each request.
    void keepsAConnectionForTheNextCall()
    {
        send(1);
        m_peer.write(0, response("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), bodyOf(1));
        send(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peer.peers.size());
        m_peer.write(0, response("b", "X-Id: 2\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), bodyOf(2));
    }

    /// Guards against an answer that reaches the wrong caller.
    void dropsALateResponseToAnEarlierCall()
    {
        send(1);
        m_peer.write(0, response("a", "X-Id: 1\r\n"));
        bodyOf(1);
        send(2);
        m_peer.write(0, response("late", "X-Id: 1\r\n") + response("b", "X-Id: 2\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), bodyOf(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_peer.address()));
    }

    void closesAConnectionAfterAnExtraResponse()
    {
        send(1);
        m_peer.write(0, response("a") + response("extra"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), bodyOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_peer.address()));
    }

    /// Guards against responses that take the memory that other requests have been promised.
    void endsAResponseWithoutRoom()
    {
        memory_budget memory = *memory_budget::create({.bytes = 10'000});
        memory_hold others(&memory, memory_use::Store);
        others.setHeld(5'000);
        m_pool->limitMemory(memory, memory_use::Servers);
        send(1);
        m_peer.write(0, response(std::string(1'000, 'x')));
        CPPUNIT_ASSERT_EQUAL(std::string(1'000, 'x'), bodyOf(1));
        send(2);
        m_peer.write(0, response(std::string(4'000, 'x'), "X-Id: 2\r\n"));
        CPPUNIT_ASSERT(failureOf(2) == call_failure::NoRoom);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.held(memory_use::Servers));
        m_pool.reset();
    }

    void closesAnIdleConnectionOnWhichBytesArrive()
    {
        send(1);
        m_peer.write(0, response("a"));
        bodyOf(1);
        m_peer.write(0, response("extra"));
        m_loop.runUntil([this] { return m_pool->connections(m_peer.address()) == 0; });
    }

    /// Guards against half an answer that looks whole.
    void tellsAResponseWithoutLengthFromABrokenOne()
    {
        send(1);
        m_peer.write(0, "HTTP/1.1 200 OK\r\n\r\nabc");
        m_loop.runUntil([] { return true; });
        m_peer.close(0);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), bodyOf(1));
        send(2);
        m_peer.write(1, "HTTP/1.1 200 OK\r\n\r\nabc");
        m_loop.runUntil([] { return true; });
        m_peer.reset(1);
        CPPUNIT_ASSERT(failureOf(2) == call_failure::ConnectionLost);
    }

    /// Guards against a call that reads on for as long as a faulty peer sends, in a header field,
    /// in a body, or in responses that are not the one that is expected.
    void endsResponsesWithoutEnd()
    {
        const std::string filler(20000, 'x');
        const std::vector<std::pair<std::string, std::string>> endless = {
            {"HTTP/1.1 200 OK\r\nX-A: ", filler},
            {"HTTP/1.1 200 OK\r\n", "X-A: " + filler + "\r\n"},
            {filler, filler},
            {"HTTP/1.1 200 OK\r\n\r\n", filler},
            {"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", filler},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4e20\r\n" + filler + "\r\n"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", filler},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
             "X-A: " + filler + "\r\n"},
            {"", "HTTP/1.1 102 Processing\r\n\r\n"},
            {"", response("late", "X-Id: 0\r\n")},
        };
        for (std::size_t i = 0; i < endless.size(); ++i) {
            const std::uint64_t id = i + 1;
            send(id);
            std::string bytes = endless[i].first;
            // Twice the largest accepted message.
            for (std::size_t sent = 0; sent < 600'000 && !m_outcomes.contains(id);
                 sent += bytes.size(), bytes = endless[i].second) {
                m_peer.write(i, bytes);
                bool passed = false;
                m_loop.runUntil([&passed] { return std::exchange(passed, true); });
            }
            CPPUNIT_ASSERT_MESSAGE("case " + std::to_string(i), m_outcomes.contains(id));
            CPPUNIT_ASSERT(failureOf(id) == call_failure::Malformed);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_peer.address()));
        }
    }

    void reportsTruncatedAndMalformedResponses()
    {
        send(1);
        m_peer.write(0, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
        m_peer.close(0);
        CPPUNIT_ASSERT(failureOf(1) == call_failure::ConnectionLost);
        send(2);
        m_peer.write(1, "no protocol that is known here\r\n\r\n");
        CPPUNIT_ASSERT(failureOf(2) == call_failure::Malformed);
    }

    /// Guards against a response that ends in the middle of its head and is taken for a whole one
    /// with an empty body. It may end there with or without a reset, and after an interim response.
    void responsesCutInTheirHeadAreLost()
    {
        std::uint64_t id = 0;
        for (const std::string &head :
             {std::string("HTTP/1.1 200 OK\r\nX-Sign: a\r\nContent-Length: 12\r\n\r\n"),
              std::string("HTTP/1.1 200 OK\r\nConnection: close\r\nX-Sign: a\r\n\r\n"),
              std::string("HTTP/1.1 204 No Content\r\nX-Sign: a\r\n\r\n")}) {
            for (const std::string &before :
                 {std::string(), std::string("HTTP/1.1 102 X\r\n\r\n")}) {
                for (std::size_t size = 1; size < head.size(); ++size) {
                    send(++id);
                    m_peer.write(id - 1, before + head.substr(0, size));
                    m_loop.runUntil([] { return true; });
                    if (size % 2 == 0)
                        m_peer.close(id - 1);
                    else
                        m_peer.reset(id - 1);
                    const auto &outcome = outcomeOf(id);
                    CPPUNIT_ASSERT_MESSAGE(head.substr(0, size),
                                           std::holds_alternative<call_failure>(outcome));
                    CPPUNIT_ASSERT(std::get<call_failure>(outcome) != call_failure::ConnectFailed);
                }
            }
        }
    }

    /// Guards against a refused connection that is taken for a request that may have run.
    void reportsThatNothingWasSent()
    {
        const endpoint closed = raw_listener().address();
        m_pool->send({{1}, closed, "GET / HTTP/1.1\r\n\r\n", false, {}, {}});
        CPPUNIT_ASSERT(failureOf(1) == call_failure::ConnectFailed);
    }

    /// Guards against the next request being read as the rest of a long body.
    void doesNotReuseAConnectionWhoseRequestIsNotSentWhole()
    {
        constexpr std::size_t longBody = 40'000'000;
        std::string bytes = "POST / HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n";
        bytes.resize(bytes.size() + longBody, 'x');
        m_pool->send({{1}, m_peer.address(), bytes, false, {}, {}});
        m_loop.runUntil([this] {
            m_peer.poll();
            return !m_peer.received.empty();
        });
        m_peer.write(0, response("early"));
        CPPUNIT_ASSERT_EQUAL(std::string("early"), bodyOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_peer.address()));
    }

    /// Guards against servers that work on for a caller that has gone.
    void closesTheConnectionOfACancelledCall()
    {
        send(1);
        m_pool->cancel({1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_peer.address()));
        m_loop.runUntil([this] {
            char byte = 0;
            return recv(m_peer.peers[0], &byte, 1, MSG_DONTWAIT) == 0;
        });
        CPPUNIT_ASSERT(m_outcomes.empty());
    }

    /// Guards against giving up a server because it has no room for another connection.
    void tellsAPeerWithoutRoomFromALostAnswer()
    {
        m_time.offset = std::chrono::seconds(0);
        send(1);
        m_peer.reset(0);
        CPPUNIT_ASSERT(failureOf(1) == call_failure::NotAccepted);
        send(2);
        m_time.offset = std::chrono::milliseconds(5);
        m_peer.reset(1);
        CPPUNIT_ASSERT(failureOf(2) == call_failure::ConnectionLost);
    }

    /// Guards against a request that crosses the close of an idle connection.
    void respectsTheIdleTimeOfThePeer()
    {
        send(1);
        m_peer.write(0, response("a", "Keep-Alive: timeout=1\r\n"));
        bodyOf(1);
        m_loop.runUntil([this] { return m_pool->connections(m_peer.address()) == 0; });
    }

private:
    void send(std::uint64_t id)
    {
        const std::string path = "/" + std::to_string(id);
        m_pool->send({{id},
                      m_peer.address(),
                      "GET " + path + " HTTP/1.1\r\n\r\n",
                      false,
                      "X-Id",
                      std::to_string(id)});
        m_loop.runUntil([this, &path] {
            m_peer.poll();
            return m_peer.received.find(path) != std::string::npos;
        });
    }
    client_pool::outcome &outcomeOf(std::uint64_t id)
    {
        m_loop.runUntil([this, id] { return m_outcomes.count(id) != 0; });
        return m_outcomes.at(id);
    }
    std::string bodyOf(std::uint64_t id)
    {
        return std::get<raw_response>(outcomeOf(id)).content.body;
    }
    call_failure failureOf(std::uint64_t id) { return std::get<call_failure>(outcomeOf(id)); }

    /// Clock that stands still at an offset, where a test sets one.
    class test_clock final : public clock
    {
    public:
        time_point now() const override
        {
            return offset.has_value() ? m_start + *offset : std::chrono::steady_clock::now();
        }
        wall_time wallNow() const override { return {}; }

        std::optional<duration> offset;

    private:
        time_point m_start = std::chrono::steady_clock::now();
    };

    test_loop m_loop;
    test_clock m_time;
    raw_listener m_peer;
    std::unique_ptr<client_pool> m_pool;
    std::map<std::uint64_t, client_pool::outcome> m_outcomes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_pool_test);

} // namespace
} // namespace waxwing::http
