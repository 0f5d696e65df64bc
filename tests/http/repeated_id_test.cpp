#include "http/client_pool.h"
#include "http/loop_fixture.h"
#include "http/raw_listener.h"
#include "http/request_id_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace waxwing::http {
namespace {

std::string responseTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Tests calls with an id that an earlier call had, to a peer that sends responses a second time.
class repeated_id_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeated_id_test);
    CPPUNIT_TEST(lateCopiesDoNotAnswerTheNextTry);
    CPPUNIT_TEST(lateCopiesDoNotAnswerTriesAfterOtherCalls);
    CPPUNIT_TEST(repeatedIdsReplaceTheirConnection);
    CPPUNIT_TEST(repeatedIdsUseIdleConnectionsThatDidNotCarryThem);
    CPPUNIT_TEST(connectionsEndAfterCallsWithoutId);
    CPPUNIT_TEST(connectionsEndWhenTheirHistoryIsFull);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool = std::make_unique<client_pool>(
            m_loop.base(), m_time, client_pool_settings{},
            [this](attempt_id call, client_pool::outcome outcome) {
                m_outcomes.emplace(call.value, std::move(outcome));
            },
            nullptr);
    }
    void tearDown() override { m_pool.reset(); }

    /// Guards against a request that runs twice, because the copy of its refusal is taken for the
    /// response to its next try, which is accepted.
    void lateCopiesDoNotAnswerTheNextTry()
    {
        send(1, "a");
        m_peer.write(0, responseTo("a", "refused"));
        CPPUNIT_ASSERT_EQUAL(std::string("refused"), bodyOf(1));
        send(2, "a");
        m_peer.write(0, responseTo("a", "refused"));
        m_peer.write(m_peer.peers.size() - 1, responseTo("a", "accepted"));
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), bodyOf(2));
    }

    /// Guards against the same fault when a caller repeats its id later.
    void lateCopiesDoNotAnswerTriesAfterOtherCalls()
    {
        exchange(1, "a");
        exchange(2, "b");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peer.peers.size());
        send(3, "a");
        m_peer.write(0, responseTo("a", "late"));
        m_peer.write(m_peer.peers.size() - 1, responseTo("a", "third"));
        CPPUNIT_ASSERT_EQUAL(std::string("third"), bodyOf(3));
    }

    /// Guards against more connections than the peer has room for.
    void repeatedIdsReplaceTheirConnection()
    {
        for (std::uint64_t call = 1; call <= 5; ++call) {
            exchange(call, "a");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_pool->connections(m_peer.address()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_peer.peers.size());
    }

    /// Guards against a new connection, which costs the peer time, where an idle one can be used.
    void repeatedIdsUseIdleConnectionsThatDidNotCarryThem()
    {
        send(1, "a");
        send(2, "b");
        m_peer.write(0, responseTo("a", "first"));
        m_peer.write(1, responseTo("b", "second"));
        bodyOf(1);
        bodyOf(2);
        send(3, "b");
        m_peer.write(0, responseTo("b", "third"));
        CPPUNIT_ASSERT_EQUAL(std::string("third"), bodyOf(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_peer.peers.size());
    }

    /// Guards against a response to a call without an id that is taken for the response to another
    /// call, since the peer repeats no id in it.
    void connectionsEndAfterCallsWithoutId()
    {
        send(1, "");
        m_peer.write(0, "HTTP/1.1 400 Bad Request\r\nContent-Length: 1\r\n\r\nx");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), bodyOf(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_pool->connections(m_peer.address()));
        send(2, "b");
        m_peer.write(0, "HTTP/1.1 400 Bad Request\r\nContent-Length: 1\r\n\r\nx");
        m_peer.write(m_peer.peers.size() - 1, responseTo("b", "second"));
        CPPUNIT_ASSERT_EQUAL(std::string("second"), bodyOf(2));
    }

    /// Guards against an id that is no longer known when it is repeated.
    void connectionsEndWhenTheirHistoryIsFull()
    {
        for (std::uint64_t call = 1; call <= request_id_history::capacity; ++call) {
            exchange(call, std::to_string(call));
            const bool isLast = call == request_id_history::capacity;
            CPPUNIT_ASSERT_EQUAL(std::size_t{isLast ? 0U : 1U},
                                 m_pool->connections(m_peer.address()));
        }
        exchange(request_id_history::capacity + 1, "1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_peer.peers.size());
    }

private:
    void send(std::uint64_t call, const std::string &id)
    {
        const std::string path = "/" + std::to_string(call) + " ";
        m_pool->send(
            {{call}, m_peer.address(), "GET " + path + "HTTP/1.1\r\n\r\n", false, "X-Id", id});
        m_peer.received.clear();
        m_loop.runUntil([this, &path] {
            m_peer.poll();
            return m_peer.received.find(path) != std::string::npos;
        });
    }
    /// Sends a call and answers it on the newest connection.
    void exchange(std::uint64_t call, const std::string &id)
    {
        send(call, id);
        m_peer.write(m_peer.peers.size() - 1, responseTo(id, "x"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), bodyOf(call));
    }
    std::string bodyOf(std::uint64_t call)
    {
        m_loop.runUntil([this, call] { return m_outcomes.count(call) != 0; });
        return std::get<raw_response>(m_outcomes.at(call)).content.body;
    }

    test_loop m_loop;
    system_clock m_time;
    raw_listener m_peer;
    std::unique_ptr<client_pool> m_pool;
    std::map<std::uint64_t, client_pool::outcome> m_outcomes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_id_test);

/// Tests which ids a connection is known to have carried.
class request_id_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_id_history_test);
    CPPUNIT_TEST(knowsAllIdsUntilItIsFull);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a late copy that meets its id again after many other requests.
    void knowsAllIdsUntilItIsFull()
    {
        request_id_history history;
        for (std::size_t i = 0; i < request_id_history::capacity; ++i) {
            const std::string id = "request-" + std::to_string(i);
            CPPUNIT_ASSERT(!history.isFull());
            CPPUNIT_ASSERT(!history.contains(id));
            history.add(id);
            CPPUNIT_ASSERT(history.contains(id));
        }
        CPPUNIT_ASSERT(history.isFull());
        CPPUNIT_ASSERT(history.contains("request-0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_id_history_test);

} // namespace
} // namespace waxwing::http
