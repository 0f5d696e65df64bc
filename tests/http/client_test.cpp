#include "http/loop_fixture.h"

namespace waxwing::http {

class client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_test);
    CPPUNIT_TEST(keepsConnections);
    CPPUNIT_TEST(respectsLimit);
    CPPUNIT_TEST(separatesLateResponseFromNextRequest);
    CPPUNIT_TEST(reportsRefusedConnectionAsNotSent);
    CPPUNIT_TEST(reportsLostConnectionOnceWithoutRetry);
    CPPUNIT_TEST(reopensConnectionClosedWhileIdle);
    CPPUNIT_TEST(readsRefusalOfOversizedBody);
    CPPUNIT_TEST(rejectsBadResponses);
    CPPUNIT_TEST(statesTheTimeThatIsLeftAtTheWrite);
    CPPUNIT_TEST_SUITE_END();

    test_loop m_loop;
    std::unique_ptr<server> m_server;
    std::unique_ptr<client> m_client;
    std::vector<request> m_requests;
    std::vector<responder> m_responders;
    std::vector<client::outcome> m_outcomes;

    void startServer(const endpoint &at)
    {
        server_settings settings;
        settings.listen = at;
        m_server = server::create(m_loop.base(), settings, [this](request message, responder to) {
                       m_requests.push_back(std::move(message));
                       m_responders.push_back(std::move(to));
                   }).value();
    }

    void send(const request &message, std::chrono::milliseconds timeout = std::chrono::seconds(5))
    {
        const std::size_t before = m_outcomes.size();
        m_client->send(m_server->localEndpoint(), message, timeout,
                       [this](client::outcome result) { m_outcomes.push_back(std::move(result)); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("called back from within send", before, m_outcomes.size());
    }

    void awaitRequests(std::size_t count)
    {
        m_loop.runUntil([&] { return m_responders.size() == count; });
    }

    void awaitOutcomes(std::size_t count)
    {
        m_loop.runUntil([&] { return m_outcomes.size() == count; });
    }

    transport_error lastError() const
    {
        const auto *failure = std::get_if<transport_failure>(&m_outcomes.back());
        CPPUNIT_ASSERT(failure != nullptr);
        return failure->error;
    }

    std::string lastBody() const
    {
        const auto *answer = std::get_if<response>(&m_outcomes.back());
        CPPUNIT_ASSERT(answer != nullptr);
        return answer->body;
    }

public:
    void setUp() override
    {
        startServer({"127.0.0.1", 0});
        m_client = std::make_unique<client>(m_loop.base(), client_settings{});
    }
    void tearDown() override
    {
        m_client.reset();
        m_responders.clear();
        m_server.reset();
    }

    /// Guards against a server that works on after its caller has left, because the connection was
    /// opened later than the request was decided.
    void statesTheTimeThatIsLeftAtTheWrite()
    {
        request message;
        message.timeoutField = "Time-Left-Ms";
        send(message);
        const auto decided = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() < decided + std::chrono::milliseconds(20)) { }
        awaitRequests(1);
        const auto stated = findHeader(m_requests[0].headers, "Time-Left-Ms");
        CPPUNIT_ASSERT(stated.has_value());
        const int left = std::stoi(*stated);
        CPPUNIT_ASSERT_MESSAGE(*stated, left > 0 && left <= 4980);
    }

    /// Guards against a connection for each request, which costs a backend server 1 to 5 ms.
    void keepsConnections()
    {
        const request message{"POST", "/a b", {{"q", "x&y"}}, {{"X-One", "1"}}, "body"};
        for (std::size_t i = 1; i <= 3; ++i) {
            send(message);
            awaitRequests(i);
            const request &got = m_requests.back();
            CPPUNIT_ASSERT(got.path == "/a b" && got.query == message.query && got.body == "body");
            CPPUNIT_ASSERT(findHeader(got.headers, "X-One") == "1");
            m_responders.back().respond(jsonResponse(200, std::to_string(i)));
            awaitOutcomes(i);
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), lastBody());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client->connections(m_server->localEndpoint()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_server->connections());
    }

    /// Guards against more connections than a backend server accepts.
    void respectsLimit()
    {
        m_client->setConnectionLimit(m_server->localEndpoint(), 2);
        for (int i = 0; i < 3; ++i)
            send({});
        awaitRequests(2);
        awaitOutcomes(1);
        CPPUNIT_ASSERT(lastError() == transport_error::NoFreeConnection);
        CPPUNIT_ASSERT(!mayHaveBeenReceived(lastError()));
    }

    /// Guards against a late response that is taken for the response to the next request.
    void separatesLateResponseFromNextRequest()
    {
        send({}, std::chrono::milliseconds(30));
        awaitRequests(1);
        awaitOutcomes(1);
        CPPUNIT_ASSERT(lastError() == transport_error::Timeout);
        CPPUNIT_ASSERT(mayHaveBeenReceived(lastError()));
        send({});
        m_responders.front().respond(jsonResponse(200, "late"));
        awaitRequests(2);
        m_responders.back().respond(jsonResponse(200, "next"));
        awaitOutcomes(2);
        CPPUNIT_ASSERT_EQUAL(std::string("next"), lastBody());
        m_loop.runUntil([&] { return m_server->connections() == 1; });
    }

    /// Guards against commands reported as "outcome unknown" although nothing was sent.
    void reportsRefusedConnectionAsNotSent()
    {
        const endpoint at = m_server->localEndpoint();
        m_server.reset();
        m_client->send(at, {}, std::chrono::seconds(5),
                       [this](client::outcome result) { m_outcomes.push_back(std::move(result)); });
        CPPUNIT_ASSERT(m_outcomes.empty());
        awaitOutcomes(1);
        CPPUNIT_ASSERT(lastError() == transport_error::ConnectFailed);
        CPPUNIT_ASSERT(!mayHaveBeenReceived(lastError()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client->connections(at));
    }

    /// Guards against a second run of a command whose connection broke.
    void reportsLostConnectionOnceWithoutRetry()
    {
        const endpoint at = m_server->localEndpoint();
        send({"POST", "/command", {}, {}, "{}"});
        awaitRequests(1);
        m_server.reset();
        startServer(at);
        awaitOutcomes(1);
        CPPUNIT_ASSERT(lastError() == transport_error::ConnectionLost);
        CPPUNIT_ASSERT(mayHaveBeenReceived(lastError()));
        // The request after it is the second one that the server gets.
        send({});
        awaitRequests(2);
        CPPUNIT_ASSERT_EQUAL(std::string("GET"), m_requests.back().method);
    }

    /// Guards against failures of requests on connections that the peer closed between requests.
    void reopensConnectionClosedWhileIdle()
    {
        const endpoint at = m_server->localEndpoint();
        send({});
        awaitRequests(1);
        m_responders.back().respond(jsonResponse(200, "1"));
        awaitOutcomes(1);
        m_server.reset();
        startServer(at);
        // The client's loop has not run, so that it has not seen the close.
        send({});
        awaitRequests(2);
        m_responders.back().respond(jsonResponse(200, "2"));
        awaitOutcomes(2);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), lastBody());
    }

    /// Guards against refusals that are lost because the server closes before the body is sent.
    void readsRefusalOfOversizedBody()
    {
        send({"POST", "/", {}, {}, std::string(3'000'000, 'x')});
        awaitOutcomes(1);
        const auto *answer = std::get_if<response>(&m_outcomes.back());
        CPPUNIT_ASSERT(answer != nullptr);
        CPPUNIT_ASSERT_EQUAL(413, answer->status);
    }

    /// Guards against truncated, oversized or unreadable responses that are taken for answers.
    void rejectsBadResponses()
    {
        client_settings settings;
        settings.maxBodyBytes = 100;
        m_client = std::make_unique<client>(m_loop.base(), settings);
        send({});
        awaitRequests(1);
        m_responders.back().respond(jsonResponse(200, std::string(101, 'x')));
        awaitOutcomes(1);
        CPPUNIT_ASSERT(lastError() == transport_error::Malformed);

        for (const char *text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 9"}) {
            raw_listener peer;
            const std::size_t before = m_outcomes.size();
            m_client->send(peer.at, {}, std::chrono::seconds(5), [this](client::outcome result) {
                m_outcomes.push_back(std::move(result));
            });
            m_loop.runUntil([&] { return peer.answer(text); });
            awaitOutcomes(before + 1);
            CPPUNIT_ASSERT(lastError() == transport_error::ConnectionLost);
        }
    }

private:
    /// Server that sends any bytes and closes.
    struct raw_listener
    {
        raw_listener() : handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
        {
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t size = sizeof address;
            auto *generic = reinterpret_cast<sockaddr *>(&address);
            CPPUNIT_ASSERT(bind(handle, generic, size) == 0 && listen(handle, 1) == 0);
            getsockname(handle, generic, &size);
            at = {"127.0.0.1", ntohs(address.sin_port)};
        }
        ~raw_listener() { close(handle); }

        /// Accepts and answers once the request has arrived.
        bool answer(const std::string &text)
        {
            if (accepted < 0)
                accepted = accept4(handle, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            char buffer[4096];
            if (accepted < 0 || recv(accepted, buffer, sizeof buffer, 0) <= 0)
                return false;
            ::send(accepted, text.data(), text.size(), MSG_NOSIGNAL);
            close(accepted);
            return true;
        }

        int handle;
        int accepted = -1;
        endpoint at;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_test);

} // namespace waxwing::http
