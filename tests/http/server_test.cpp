#include "http/loop_fixture.h"

#include <optional>

namespace waxwing::http {

class server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(passesWholeRequest);
    CPPUNIT_TEST(answersErrorsWithProblems);
    CPPUNIT_TEST(rejectsAmbiguousFraming);
    CPPUNIT_TEST(rejectsMalformedTargets);
    CPPUNIT_TEST(reportsDisconnectOnce);
    CPPUNIT_TEST(reportsResetPeer);
    CPPUNIT_TEST(toleratesResponderThatOutlivesServer);
    CPPUNIT_TEST(answersUnansweredRequests);
    CPPUNIT_TEST(servesPipelinedRequestsInOrder);
    CPPUNIT_TEST(drainsWithoutCuttingRequests);
    CPPUNIT_TEST(dropsConnection);
    CPPUNIT_TEST(limitsArrivalTime);
    CPPUNIT_TEST(failsOnAddressInUse);
    CPPUNIT_TEST_SUITE_END();

    test_loop m_loop;
    std::unique_ptr<server> m_server;
    std::vector<request> m_requests;
    std::vector<responder> m_responders;

    void start()
    {
        server_settings settings;
        settings.maxBodyBytes = 1000;
        settings.maxHeaderBytes = 2000;
        settings.requestTimeout = std::chrono::milliseconds(200);
        auto created =
            server::create(m_loop.base(), settings, [this](request message, responder to) {
                m_requests.push_back(std::move(message));
                m_responders.push_back(std::move(to));
            });
        CPPUNIT_ASSERT(created.ok());
        m_server = *std::move(created);
    }

    std::string exchange(const std::string &text)
    {
        raw_connection peer(m_server->localEndpoint());
        peer.write(text);
        m_loop.runUntil([&] {
            peer.poll();
            return peer.closed;
        });
        return peer.received;
    }

public:
    void setUp() override { start(); }
    void tearDown() override
    {
        m_responders.clear();
        m_server.reset();
    }

    /// Guards against requests that lose a part, such as encoded characters or the body.
    void passesWholeRequest()
    {
        raw_connection peer(m_server->localEndpoint());
        peer.write("PUT /a%20b/c?q=x%26y+z&n=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                   "Content-Length: 4\r\n\r\nbody");
        m_loop.runUntil([&] { return m_requests.size() == 1; });
        const request &message = m_requests.front();
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), message.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a b/c"), message.path);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), message.body);
        CPPUNIT_ASSERT((message.query == header_list{{"q", "x&y z"}, {"n", "1"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), findHeader(message.headers, "x-one").value_or(""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->requestsInProgress());
        m_responders.front().respond(jsonResponse(201, "{}"));
        m_loop.runUntil([&] {
            peer.poll();
            return peer.received.ends_with("{}");
        });
        CPPUNIT_ASSERT(peer.received.starts_with("HTTP/1.1 201 Created\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->requestsInProgress());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connections());
    }

    /// Guards against error pages of evhttp and unbounded input.
    void answersErrorsWithProblems()
    {
        const std::string bigHeader = "X: " + std::string(3000, 'x') + "\r\n";
        const std::pair<std::string, std::string> cases[] = {
            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'b'),
             "413"},
            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                 + std::string(2000, 'b') + "\r\n0\r\n\r\n",
             "413"},
            {"GET / HTTP/1.1\r\nHost: h\r\n" + bigHeader + "\r\n", "431"},
            {"GET /" + std::string(3000, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n", "431"},
            {"GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n", "400"},
            {"nonsense\r\n\r\n", "400"},
            {"HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "405"},
            {"PATCH / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "405"},
            {"BREW / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "501"},
        };
        for (const auto &[input, status] : cases) {
            const std::string answer = exchange(input);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, "HTTP/1.1 " + status, answer.substr(0, 12));
            CPPUNIT_ASSERT(answer.find("application/problem+json") != std::string::npos);
            CPPUNIT_ASSERT(answer.find("<HTML>") == std::string::npos);
        }
        CPPUNIT_ASSERT(m_requests.empty());
    }

    /// Guards against a second request that is hidden in the body of the first one from one of two
    /// parsers on the way.
    void rejectsAmbiguousFraming()
    {
        const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string cases[] = {
            "Host: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
            "Host: h\r\nContent-Length: +2\r\n",
            "Host: h\r\nContent-Length : 2\r\n",
            "Host: h\r\nTransfer-Encoding: xchunked\r\n",
            "Host: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
            "Host: h\r\nHost: i\r\nContent-Length: 2\r\n",
            "Host: h\r\nX-One: 1\r\n two\r\nContent-Length: 2\r\n",
            "Content-Length: 2\r\n",
        };
        for (const std::string &fields : cases) {
            std::string text = "POST / HTTP/1.1\r\n";
            text.append(fields).append("\r\nab").append(hidden);
            const std::string answer = exchange(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, std::string("HTTP/1.1 400"), answer.substr(0, 12));
            CPPUNIT_ASSERT(answer.find("application/problem+json") != std::string::npos);
            // One answer only.
            CPPUNIT_ASSERT_EQUAL(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
        }
        CPPUNIT_ASSERT(m_requests.empty());
    }

    /// Guards against a query that cannot be read and counts as an empty one.
    void rejectsMalformedTargets()
    {
        for (const std::string target : {"/a?flag", "/a?=1"}) {
            const std::string answer =
                exchange("GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, std::string("HTTP/1.1 400"), answer.substr(0, 12));
        }
        CPPUNIT_ASSERT(m_requests.empty());
    }

    /// Guards against searches that go on for a caller that is gone.
    void reportsDisconnectOnce()
    {
        int disconnects = 0;
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([&] { return m_responders.size() == 1; });
        m_responders.front().onDisconnect([&] { ++disconnects; });
        peer.close();
        m_loop.runUntil([&] { return m_server->connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(1, disconnects);
        m_responders.front().respond(jsonResponse(200, "{}"));
        m_server.reset();
        CPPUNIT_ASSERT_EQUAL(1, disconnects);
    }

    /// Guards against a peer that is only noticed when it closes in order.
    void reportsResetPeer()
    {
        int disconnects = 0;
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([&] { return m_responders.size() == 1; });
        m_responders.front().onDisconnect([&] { ++disconnects; });
        // Unread data at close makes the kernel send a reset.
        peer.write("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        m_responders.front().respond(jsonResponse(200, "{}"));
        m_loop.runUntil([&] { return m_responders.size() == 2; });
        m_responders.back().onDisconnect([&] { ++disconnects; });
        peer.close();
        m_loop.runUntil([&] { return m_server->connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(1, disconnects);
    }

    /// Guards against use of a freed server when it stops with requests in progress.
    void toleratesResponderThatOutlivesServer()
    {
        int disconnects = 0;
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([&] { return m_responders.size() == 1; });
        m_responders.front().onDisconnect([&] { ++disconnects; });
        m_server.reset();
        m_responders.front().respond(jsonResponse(200, "{}"));
        CPPUNIT_ASSERT_EQUAL(0, disconnects);
    }

    /// Guards against callers that wait for a request whose responder was lost.
    void answersUnansweredRequests()
    {
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        m_loop.runUntil([&] { return m_responders.size() == 1; });
        m_responders.clear();
        m_loop.runUntil([&] {
            peer.poll();
            return peer.closed;
        });
        CPPUNIT_ASSERT(peer.received.starts_with("HTTP/1.1 500"));
    }

    /// Guards against answers that meet the wrong request of a connection.
    void servesPipelinedRequestsInOrder()
    {
        raw_connection peer(m_server->localEndpoint());
        peer.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: "
                   "close\r\n\r\n");
        for (std::size_t i = 0; i < 2; ++i) {
            m_loop.runUntil([&] { return m_responders.size() == i + 1; });
            m_responders[i].respond(jsonResponse(200, m_requests[i].path));
        }
        m_loop.runUntil([&] {
            peer.poll();
            return peer.closed;
        });
        CPPUNIT_ASSERT(peer.received.find("/1HTTP/1.1 200") != std::string::npos);
        CPPUNIT_ASSERT(peer.received.ends_with("/2"));
    }

    /// Guards against a shutdown that interrupts requests or waits for idle connections.
    void drainsWithoutCuttingRequests()
    {
        const endpoint at = m_server->localEndpoint();
        raw_connection idle(at);
        raw_connection busy(at);
        raw_connection partial(at);
        busy.write("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
        partial.write("POST /partial HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na");
        m_loop.runUntil([&] { return m_responders.size() == 1 && m_server->connections() == 3; });
        m_server->beginDrain();
        partial.write("b");
        m_loop.runUntil([&] {
            idle.poll();
            return idle.closed && m_responders.size() == 2;
        });
        for (responder &to : m_responders)
            to.respond(jsonResponse(200, "{}"));
        m_loop.runUntil([&] {
            busy.poll();
            partial.poll();
            return busy.closed && partial.closed;
        });
        for (const std::string &answer : {busy.received, partial.received}) {
            CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
            CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->connections());
    }

    /// Guards against callers that hold connections by sending a request slowly, and against a
    /// limit that also ends requests that are being handled.
    void limitsArrivalTime()
    {
        raw_connection handled(m_server->localEndpoint());
        handled.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([&] { return m_responders.size() == 1; });
        raw_connection header(m_server->localEndpoint());
        raw_connection body(m_server->localEndpoint());
        header.write("GET / HTTP/1.1\r\nHost: h\r\nX: ");
        body.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
        m_loop.runUntil([&] {
            header.poll();
            body.poll();
            return header.closed && body.closed;
        });
        for (const std::string &answer : {header.received, body.received})
            CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 408 Request Timeout\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->requestsInProgress());
    }

    /// Guards against stand-ins that answer where they should lose the answer.
    void dropsConnection()
    {
        raw_connection peer(m_server->localEndpoint());
        for (std::size_t i = 0; i < 2; ++i) {
            peer.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            m_loop.runUntil([&] { return m_responders.size() == i + 1; });
            CPPUNIT_ASSERT_EQUAL(i == 0, m_responders[i].isFirstOnConnection());
            if (i == 0)
                m_responders[i].respond(jsonResponse(200, "{}"));
        }
        m_responders[1].drop();
        m_loop.runUntil([&] {
            peer.poll();
            return peer.closed;
        });
        CPPUNIT_ASSERT(peer.received.ends_with("{}"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->connections());
    }

    /// Guards against a process that starts without its port.
    void failsOnAddressInUse()
    {
        server_settings settings;
        settings.listen = m_server->localEndpoint();
        const auto second =
            server::create(m_loop.base(), settings, [](const request &, const responder &) {});
        CPPUNIT_ASSERT(absl::IsUnavailable(second.status()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace waxwing::http
