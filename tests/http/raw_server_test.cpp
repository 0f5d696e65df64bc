#include "http/raw_server.h"

#include "http/loop_fixture.h"
#include "loop/loop_clock.h"
#include "support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace waxwing::http {
namespace {

class raw_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(raw_server_test);
    CPPUNIT_TEST(answersRequestsOnOneConnectionInOrder);
    CPPUNIT_TEST(handlesManyEarlyRequestsWithoutRecursion);
    CPPUNIT_TEST(closesAConnectionWhoseFramingIsAmbiguous);
    CPPUNIT_TEST(answersATooLargeBodyBeforeItIsRead);
    CPPUNIT_TEST(reportsACallerThatLeaves);
    CPPUNIT_TEST(closesConnectionsInTheirTimes);
    CPPUNIT_TEST(answersAllRequestsWhileItStops);
    CPPUNIT_TEST(sendsContinueBeforeTheBody);
    CPPUNIT_TEST(knowsHowLateItReads);
    CPPUNIT_TEST(knowsHowLateItAccepts);
    CPPUNIT_TEST(countsTheWaitForAnEarlierAnswer);
    CPPUNIT_TEST(countsTheWaitForTheRestOfARequest);
    CPPUNIT_TEST(countsAHoldUpThatIsShorterThanASweep);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_settings.headerTimeout = std::chrono::milliseconds(300);
        m_settings.idleTimeout = std::chrono::milliseconds(600);
    }
    void tearDown() override { m_server.reset(); }

    /// Guards against answers that reach another request.
    void answersRequestsOnOneConnectionInOrder()
    {
        start();
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        waitForRequests(1);
        m_server->respond(m_ids[0], {200, {}, "one"});
        waitForRequests(2);
        m_server->respond(m_ids[1], {200, {}, "two"});
        waitFor(peer, "two");
        CPPUNIT_ASSERT(peer.received.find("one") < peer.received.find("two"));
        CPPUNIT_ASSERT_EQUAL(std::string("/2"), m_requests[1].target);
        // A second answer to the same request goes nowhere.
        m_server->respond(m_ids[0], {200, {}, "again"});
        m_server->respond(m_ids[1], {200, {}, "again"});
        peer.poll();
        CPPUNIT_ASSERT(peer.received.find("again") == std::string::npos);
    }

    /// Guards against a stack overflow by requests that are answered at once.
    void handlesManyEarlyRequestsWithoutRecursion()
    {
        m_answerAtOnce = true;
        start();
        raw_connection peer(m_server->localEndpoint());
        std::string bytes;
        constexpr std::size_t count = 4000;
        for (std::size_t i = 0; i < count; ++i)
            bytes += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        peer.write(bytes);
        m_loop.runUntil([this, &peer] {
            peer.poll();
            return m_requests.size() == count;
        });
    }

    /// Guards against a smuggled request on a connection that stays open.
    void closesAConnectionWhoseFramingIsAmbiguous()
    {
        start();
        raw_connection peer(m_server->localEndpoint());
        peer.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\n"
                   "aGET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([&peer] {
            peer.poll();
            return peer.closed;
        });
        CPPUNIT_ASSERT(peer.received.starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(peer.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(m_requests.empty());
    }

    /// Guards against a reset that takes the answer away from a caller who still sends.
    void answersATooLargeBodyBeforeItIsRead()
    {
        m_settings.messages.bodyBytes = 100;
        start();
        raw_connection peer(m_server->localEndpoint());
        peer.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
        waitFor(peer, "HTTP/1.1 413 ");
        peer.write(std::string(100000, 'x'));
        m_loop.runUntil([&peer] {
            peer.poll();
            return peer.closed;
        });
        CPPUNIT_ASSERT(m_requests.empty());
    }

    /// Guards against work for a caller that has gone.
    void reportsACallerThatLeaves()
    {
        start();
        {
            raw_connection peer(m_server->localEndpoint());
            peer.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            waitForRequests(1);
        }
        m_loop.runUntil([this] { return !m_gone.empty(); });
        CPPUNIT_ASSERT(m_gone[0] == m_ids[0]);
        m_server->respond(m_ids[0], {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->connections());
    }

    /// Guards against connections that are held for ever by idle or slow callers, and against
    /// closing those that wait for an answer.
    void closesConnectionsInTheirTimes()
    {
        start();
        raw_connection idle(m_server->localEndpoint());
        raw_connection slow(m_server->localEndpoint());
        raw_connection waiting(m_server->localEndpoint());
        slow.write("GET / HTTP/1.1\r\n");
        waiting.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([&idle, &slow] {
            idle.poll();
            slow.poll();
            return idle.closed && slow.closed;
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), idle.received);
        CPPUNIT_ASSERT(slow.received.starts_with("HTTP/1.1 408 "));
        waiting.poll();
        CPPUNIT_ASSERT(!waiting.closed);
    }

    /// Guards against requests that are lost when the host stops.
    void answersAllRequestsWhileItStops()
    {
        start();
        raw_connection idle(m_server->localEndpoint());
        raw_connection busy(m_server->localEndpoint());
        busy.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        waitForRequests(1);
        m_server->stopAccepting();
        m_loop.runUntil([&idle] {
            idle.poll();
            return idle.closed;
        });
        m_server->respond(m_ids[0], {200, {}, "last"});
        m_loop.runUntil([&busy] {
            busy.poll();
            return busy.closed;
        });
        CPPUNIT_ASSERT(busy.received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(busy.received.ends_with("last"));
    }

    /// Guards against a caller and a host that wait for each other.
    void sendsContinueBeforeTheBody()
    {
        start();
        raw_connection peer(m_server->localEndpoint());
        peer.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                   "Expect: 100-continue\r\n\r\n");
        waitFor(peer, "HTTP/1.1 100 Continue\r\n\r\n");
        peer.write("ab");
        waitForRequests(1);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_requests[0].body);
    }

    /// Guards against requests that get their whole time again after they waited in the socket
    /// while the loop was held up, and against later ones that lose time.
    void knowsHowLateItReads()
    {
        start(m_passes);
        raw_connection peer(m_server->localEndpoint());
        runPasses([this] { return m_server->connections() == 1; });
        holdUp(std::chrono::milliseconds(600), [&peer] { peer.write(get("/1")); });
        waitForRequests(1);
        CPPUNIT_ASSERT(m_delays[0] == std::chrono::milliseconds(600));
        m_server->respond(m_ids[0], {});
        m_passes.beginPass();
        m_stillTime.at += std::chrono::milliseconds(200);
        peer.write(get("/2"));
        waitForRequests(2);
        CPPUNIT_ASSERT(m_delays[1] == duration(0));
    }

    /// Guards against the whole time again for the first request of a connection that waited to be
    /// accepted, and against time that a connection loses which had nothing to read then.
    void knowsHowLateItAccepts()
    {
        start(m_passes);
        raw_connection peer(m_server->localEndpoint());
        raw_connection idle(m_server->localEndpoint());
        holdUp(std::chrono::milliseconds(600), [&peer] { peer.write(get("/1")); });
        runPasses([this] { return m_server->connections() == 2 && m_requests.size() == 1; });
        CPPUNIT_ASSERT(m_delays[0] == std::chrono::milliseconds(600));
        m_server->respond(m_ids[0], {});
        m_passes.beginPass();
        m_stillTime.at += std::chrono::milliseconds(100);
        peer.write(get("/2"));
        waitForRequests(2);
        CPPUNIT_ASSERT(m_delays[1] == duration(0));
        idle.write(get("/3"));
        waitForRequests(3);
        CPPUNIT_ASSERT(m_delays[2] == duration(0));
    }

    /// Guards against the whole time again for a request that was sent before the answer to the one
    /// ahead of it on its connection.
    void countsTheWaitForAnEarlierAnswer()
    {
        start(m_passes);
        raw_connection peer(m_server->localEndpoint());
        runPasses([this] { return m_server->connections() == 1; });
        peer.write(get("/1") + get("/2"));
        waitForRequests(1);
        m_passes.beginPass();
        m_stillTime.at += std::chrono::milliseconds(400);
        m_server->respond(m_ids[0], {});
        waitForRequests(2);
        CPPUNIT_ASSERT(m_delays[1] == std::chrono::milliseconds(400));
    }

    /// Guards against the whole time again for a request whose last bytes waited for a busy loop.
    void countsTheWaitForTheRestOfARequest()
    {
        start(m_passes);
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET /1 HTTP/1.1\r\n");
        runPasses([this] { return m_server->connections() == 1; });
        waitForSweep();
        holdUp(std::chrono::milliseconds(300), [&peer] { peer.write("Host: h\r\n\r\n"); });
        waitForRequests(1);
        CPPUNIT_ASSERT(m_delays[0] == std::chrono::milliseconds(300));
    }

    /// Guards against requests that get their whole time again after they waited for a busy loop.
    void countsAHoldUpThatIsShorterThanASweep()
    {
        start(m_passes);
        raw_connection peer(m_server->localEndpoint());
        runPasses([this] { return m_server->connections() == 1; });
        holdUp(std::chrono::milliseconds(240), [&peer] { peer.write(get("/1")); });
        runPasses([this] { return m_requests.size() == 1; });
        CPPUNIT_ASSERT(m_delays[0] == std::chrono::milliseconds(240));
    }

private:
    static std::string get(const std::string &path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    void start() { start(m_time); }
    /// As `start`, with read delays from the passes of the loop.
    void start(const loop_clock &time)
    {
        start(static_cast<const clock &>(time));
        m_server->measureReadDelays(time);
    }
    /// Lets a callback of the loop take `time`; `meanwhile` happens before it ends.
    void holdUp(duration time, const std::function<void()> &meanwhile)
    {
        m_passes.beginPass();
        m_passes.now();
        meanwhile();
        m_stillTime.at += time;
    }
    void start(const clock &time)
    {
        auto created = raw_server::create(m_loop.base(), time, m_settings,
                                          {[this](request_id id, raw_request request) {
                                               m_ids.push_back(id);
                                               m_delays.push_back(m_server->readDelay(id));
                                               m_requests.push_back(std::move(request));
                                               if (m_answerAtOnce)
                                                   m_server->respond(id, {});
                                           },
                                           [this](request_id id) { m_gone.push_back(id); },
                                           {}});
        CPPUNIT_ASSERT(created.ok());
        m_server = *std::move(created);
    }
    /// Runs passes of the loop as `runLoop` does until `done` holds.
    void runPasses(const std::function<bool()> &done)
    {
        m_loop.runUntil([this, &done] {
            m_passes.beginPass();
            return done();
        });
    }
    /// Sweeps come each 250 ms of real time.
    void waitForSweep()
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
        m_loop.runUntil([end] { return std::chrono::steady_clock::now() >= end; });
    }
    void waitForRequests(std::size_t count)
    {
        runPasses([this, count] { return m_requests.size() >= count; });
    }
    void waitFor(raw_connection &peer, const std::string &text)
    {
        m_loop.runUntil([&peer, &text] {
            peer.poll();
            return peer.received.find(text) != std::string::npos;
        });
    }

    test_loop m_loop;
    system_clock m_time;
    manual_clock m_stillTime;
    loop_clock m_passes{m_stillTime};
    raw_server_settings m_settings;
    bool m_answerAtOnce = false;
    std::unique_ptr<raw_server> m_server;
    std::vector<request_id> m_ids;
    std::vector<duration> m_delays;
    std::vector<raw_request> m_requests;
    std::vector<request_id> m_gone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(raw_server_test);

} // namespace
} // namespace waxwing::http
