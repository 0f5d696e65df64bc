#include "http/client_pool.h"
#include "http/loop_fixture.h"
#include "http/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::http {
namespace {

/// Limits the descriptors of the process to those that are open, as long as it lives.
class full_descriptor_table
{
public:
    full_descriptor_table()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const int free = dup(0);
        ::close(free);
        rlimit full = m_before;
        full.rlim_cur = static_cast<rlim_t>(free);
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &full));
    }
    ~full_descriptor_table() { setrlimit(RLIMIT_NOFILE, &m_before); }
    full_descriptor_table(const full_descriptor_table &) = delete;
    full_descriptor_table &operator=(const full_descriptor_table &) = delete;

private:
    rlimit m_before{};
};

/// Tests a server that stops under load, and one that has no descriptors left.
class server_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_stop_test);
    CPPUNIT_TEST(answersConnectionsThatWaitToBeAccepted);
    CPPUNIT_TEST(answersTheFirstRequestOfANewConnection);
    CPPUNIT_TEST(answersRequestsInSocketBuffers);
    CPPUNIT_TEST(answersToSlowReadersAreSentWhole);
    CPPUNIT_TEST(servesAgainAfterTheDescriptorTableWasFull);
    CPPUNIT_TEST(reportsThatNoConnectionCanBeOpened);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        auto created = raw_server::create(m_loop.base(), m_time, {},
                                          {[this](request_id id, const raw_request & /*message*/) {
                                               m_server->respond(id, {200, {}, m_body});
                                           },
                                           [](request_id /*id*/) {},
                                           {}});
        CPPUNIT_ASSERT(created.ok());
        m_server = *std::move(created);
    }
    void tearDown() override { m_server.reset(); }

    /// Guards against requests that are cut off because their connections are open but were not
    /// accepted yet when the host stops.
    void answersConnectionsThatWaitToBeAccepted()
    {
        std::vector<std::unique_ptr<raw_connection>> peers;
        for (int i = 0; i < 50; ++i) {
            peers.push_back(std::make_unique<raw_connection>(m_server->localEndpoint()));
            peers.back()->write(request);
        }
        m_server->stopAccepting();
        for (const auto &peer : peers)
            waitForAnswer(*peer);
    }

    /// Guards against a caller whose connection is closed while its first request is on the way.
    void answersTheFirstRequestOfANewConnection()
    {
        raw_connection peer(m_server->localEndpoint());
        m_loop.runUntil([this] { return m_server->connections() == 1; });
        m_server->stopAccepting();
        bool passed = false;
        m_loop.runUntil([&passed] { return std::exchange(passed, true); });
        peer.write(request);
        waitForAnswer(peer);
        m_loop.runUntil([&peer] {
            peer.poll();
            return peer.closed;
        });
    }

    /// Guards against requests on older connections that are lost because the host has not read
    /// them when it stops.
    void answersRequestsInSocketBuffers()
    {
        raw_connection peer(m_server->localEndpoint());
        peer.write(request);
        waitForAnswer(peer);
        peer.received.clear();
        peer.write(request);
        m_server->stopAccepting();
        waitForAnswer(peer);
        CPPUNIT_ASSERT(peer.received.find("Connection: close") != std::string::npos);
    }

    /// Guards against answers that are cut off when a host stops, because callers on slow links
    /// have not taken them yet.
    void answersToSlowReadersAreSentWhole()
    {
        m_body.assign(std::size_t{16} << 20U, 'r');
        raw_connection peer(m_server->localEndpoint());
        peer.write(request);
        m_loop.runUntil([this] { return m_server->hasUnsentBytes(); });
        m_server->stopAccepting();
        CPPUNIT_ASSERT(m_server->hasUnsentBytes());
        m_loop.runUntil([&] {
            peer.poll();
            return peer.received.size() > m_body.size() || peer.closed;
        });
        CPPUNIT_ASSERT(peer.received.ends_with(std::string(1000, 'r')));
        CPPUNIT_ASSERT(peer.received.size() > m_body.size());
        CPPUNIT_ASSERT(!m_server->hasUnsentBytes());
    }

    /// Guards against a host that ends, or accepts in a loop without end, because it has as many
    /// open files as it may have.
    void servesAgainAfterTheDescriptorTableWasFull()
    {
        // Both ends of a connection need a descriptor, so the test opens its own before.
        raw_connection early(m_server->localEndpoint());
        raw_connection waiting(m_server->localEndpoint());
        waiting.write(request);
        early.write(request);
        {
            const full_descriptor_table full;
            const std::clock_t begin = std::clock();
            const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
            m_loop.runUntil([end] { return std::chrono::steady_clock::now() >= end; });
            const double busy = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->connections());
            CPPUNIT_ASSERT_MESSAGE("busy for " + std::to_string(busy) + " s", busy < 0.2);
        }
        waitForAnswer(early);
        waitForAnswer(waiting);
    }

    /// Guards against a host that ends, or waits for an answer, because it cannot open a connection
    /// for want of a descriptor. Nothing was sent, so the request may go elsewhere.
    void reportsThatNoConnectionCanBeOpened()
    {
        std::vector<client_pool::outcome> outcomes;
        client_pool pool(
            m_loop.base(), m_time, {},
            [&outcomes](attempt_id /*id*/, client_pool::outcome outcome) {
                outcomes.push_back(std::move(outcome));
            },
            nullptr);
        const auto send = [&](std::uint64_t id) {
            pool.send({{id}, m_server->localEndpoint(), request, false, {}, {}});
            m_loop.runUntil([&outcomes] { return !outcomes.empty(); });
            return std::exchange(outcomes, {}).front();
        };
        {
            const full_descriptor_table full;
            CPPUNIT_ASSERT(std::get<call_failure>(send(1)) == call_failure::ConnectFailed);
        }
        CPPUNIT_ASSERT_EQUAL(200, std::get<raw_response>(send(2)).content.status);
    }

private:
    inline static const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    void waitForAnswer(raw_connection &peer)
    {
        m_loop.runUntil([&peer] {
            peer.poll();
            return peer.received.starts_with("HTTP/1.1 200 ") || peer.closed;
        });
        CPPUNIT_ASSERT(peer.received.starts_with("HTTP/1.1 200 "));
    }

    test_loop m_loop;
    system_clock m_time;
    /// Body of the answers.
    std::string m_body;
    std::unique_ptr<raw_server> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_stop_test);

} // namespace
} // namespace waxwing::http
