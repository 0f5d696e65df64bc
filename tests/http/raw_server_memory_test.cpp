#include "http/loop_fixture.h"
#include "http/raw_server.h"
#include "memory_budget/memory_hold.h"
#include "support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace waxwing::http {
namespace {

using namespace std::chrono_literals;

/// Head of a request with a body of `bytes`.
std::string post(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// Tests a server with a budget of 200,000 bytes for senders and as much for answers.
class raw_server_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(raw_server_memory_test);
    CPPUNIT_TEST(stalledSendersMakeRoom);
    CPPUNIT_TEST(requestIsRefusedWhileOthersAreInProgress);
    CPPUNIT_TEST(smallSendersAreKeptWhileOthersAreInProgress);
    CPPUNIT_TEST(requestInProgressIsAnsweredWithoutRoomForTheNext);
    CPPUNIT_TEST(slowBodiesEnd);
    CPPUNIT_TEST(answersThatAreNotTakenAreBounded);
    CPPUNIT_TEST(answersThatAreNotTakenEnd);
    CPPUNIT_TEST(bytesReturnWithTheirConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        memory_budget_settings settings;
        settings.bytes = 400'000;
        settings.shares.fill({0, 0.5});
        m_memory = std::make_unique<memory_budget>(*memory_budget::create(settings));
        auto created = raw_server::create(
            m_loop.base(), m_time, {},
            {[this](request_id id, const raw_request & /*message*/) { m_ids.push_back(id); },
             [this](request_id id) { m_gone.push_back(id); },
             [this](response & /*answer*/, const rejection &reason) {
                 m_rejections.push_back(reason);
             },
             [this](const rejection &reason) { m_cuts.push_back(reason); },
             {}});
        CPPUNIT_ASSERT(created.ok());
        m_server = *std::move(created);
        m_server->limitMemory({m_memory.get(), memory_use::Callers, memory_use::Answers});
    }
    void tearDown() override { m_server.reset(); }

    /// Guards against callers who stall and take the room of all others.
    void stalledSendersMakeRoom()
    {
        std::vector<std::unique_ptr<raw_connection>> stalled;
        for (int i = 0; i < 6; ++i) {
            stalled.push_back(connect());
            stalled.back()->write(post(50'000) + std::string(49'999, 'x'));
            run();
            m_time.at += 1s;
        }
        const auto sound = connect();
        sound->write(post(1'000) + std::string(1'000, 'x'));
        m_loop.runUntil([this] { return m_ids.size() == 1; });
        CPPUNIT_ASSERT(m_memory->held(memory_use::Callers) <= 200'000);
        // The one that has stalled for the longest time is told that its request has not run.
        m_loop.runUntil([&stalled] {
            stalled[0]->poll();
            return !stalled[0]->received.empty();
        });
        CPPUNIT_ASSERT(stalled[0]->received.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(m_rejections.at(0).cause == rejection_cause::NoRoom);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), m_rejections.at(0).sender.address);
        CPPUNIT_ASSERT(m_rejections.at(0).held >= 49'999);
    }

    /// Guards against new requests that end those that are in progress, or wait for them.
    void requestIsRefusedWhileOthersAreInProgress()
    {
        std::vector<std::unique_ptr<raw_connection>> others;
        for (std::size_t i = 0; i < 3; ++i) {
            others.push_back(connect());
            others.back()->write(post(50'000) + std::string(50'000, 'x'));
            m_loop.runUntil([this, i] { return m_ids.size() == i + 1; });
        }
        const auto late = connect();
        late->write(post(50'000) + std::string(50'000, 'x'));
        waitFor(*late, "HTTP/1.1 503 ");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_ids.size());
        CPPUNIT_ASSERT(m_gone.empty());
        // Once one of them is answered there is room again.
        m_server->respond(m_ids[0], {200, {}, {}});
        const auto next = connect();
        next->write(post(50'000) + std::string(50'000, 'x'));
        m_loop.runUntil([this] { return m_ids.size() == 4; });
    }

    /// Guards against one small request that ends all the others, where requests in progress hold
    /// nearly all of the room.
    void smallSendersAreKeptWhileOthersAreInProgress()
    {
        std::vector<std::unique_ptr<raw_connection>> small;
        for (int i = 0; i < 6; ++i) {
            small.push_back(connect());
            small.back()->write(post(100) + std::string(50, 'x'));
            run();
        }
        memory_hold inProgress(m_memory.get(), memory_use::Callers);
        inProgress.setHeld(m_memory->room(memory_use::Callers));
        small[0]->write("x");
        m_loop.runUntil([this] { return !m_rejections.empty(); });
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_rejections.size());
        inProgress.setHeld(0);
        for (const auto &each : small)
            each->write(std::string(50, 'x'));
        m_loop.runUntil([this] { return m_ids.size() == 5; });
    }

    /// Guards against a request that is lost because its caller has sent the next ones early.
    void requestInProgressIsAnsweredWithoutRoomForTheNext()
    {
        memory_hold others(m_memory.get(), memory_use::Callers);
        const auto ahead = connect();
        ahead->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        m_loop.runUntil([this] { return m_ids.size() == 1; });
        others.setHeld(190'000);
        ahead->write(post(50'000) + std::string(50'000, 'x'));
        run();
        others.setHeld(0);
        CPPUNIT_ASSERT(m_memory->held() < 5'000);
        CPPUNIT_ASSERT(m_gone.empty());
        m_server->respond(m_ids[0], {200, {}, "first"});
        waitFor(*ahead, "first");
        CPPUNIT_ASSERT(ahead->received.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_ids.size());
    }

    /// Guards against bodies that take any time, a byte at a time.
    void slowBodiesEnd()
    {
        const auto slow = connect();
        slow->write(post(50'000));
        // The connection lingers for a second after the answer, so nothing is sent from then on.
        int seconds = 0;
        while (m_rejections.empty()) {
            CPPUNIT_ASSERT(++seconds < 60);
            slow->write("x");
            run();
            m_time.at += 1s;
        }
        CPPUNIT_ASSERT(seconds > 20);
        waitFor(*slow, "HTTP/1.1 408 ");
        CPPUNIT_ASSERT(m_rejections.at(0).cause == rejection_cause::Slow);
    }

    /// Guards against answers that are kept without bound for callers who do not take them.
    void answersThatAreNotTakenAreBounded()
    {
        std::vector<std::unique_ptr<raw_connection>> readers;
        for (std::size_t i = 0; i < 4; ++i)
            readers.push_back(ask());
        CPPUNIT_ASSERT(!m_cuts.empty());
        CPPUNIT_ASSERT(m_cuts.at(0).cause == rejection_cause::Untaken);
        CPPUNIT_ASSERT(m_memory->held(memory_use::Answers) <= 200'000);
        CPPUNIT_ASSERT(m_memory->held(memory_use::Answers) > 0);
        CPPUNIT_ASSERT(m_server->hasUnsentBytes());
    }

    /// Guards against an answer that is kept for good for a caller who takes no byte of it.
    void answersThatAreNotTakenEnd()
    {
        const auto reader = ask();
        CPPUNIT_ASSERT(m_cuts.empty());
        CPPUNIT_ASSERT(m_memory->held(memory_use::Answers) > 0);
        // The buffers of the system may still take a few bytes.
        m_loop.runUntil([this] {
            m_time.at += 10s;
            return m_cuts.size() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_memory->held(memory_use::Answers));
    }

    /// Guards against counts that grow over time until nobody is served.
    void bytesReturnWithTheirConnections()
    {
        for (std::size_t i = 0; i < 3; ++i) {
            const auto reader = ask();
            const auto partial = connect();
            partial->write(post(50'000) + std::string(10'000, 'x'));
            const auto ahead = connect();
            const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            for (int j = 0; j < 3; ++j)
                ahead->write(request);
            run();
            CPPUNIT_ASSERT(m_memory->held() > 50'000);
            reader->close();
            partial->close();
            ahead->close();
            m_loop.runUntil([this] { return m_memory->held() == 0; });
        }
    }

private:
    std::unique_ptr<raw_connection> connect()
    {
        return std::make_unique<raw_connection>(m_server->localEndpoint());
    }
    /// Sends a request that is answered with more bytes than the system buffers.
    std::unique_ptr<raw_connection> ask()
    {
        auto reader = std::make_unique<raw_connection>(m_server->localEndpoint(), true);
        reader->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::size_t before = m_ids.size();
        m_loop.runUntil([this, before] { return m_ids.size() > before; });
        m_server->respond(m_ids.back(), {200, {}, std::string(160'000, 'x')});
        return reader;
    }
    /// Handles what has arrived.
    void run()
    {
        int passes = 0;
        m_loop.runUntil([&passes] { return ++passes > 2; });
    }
    void waitFor(raw_connection &peer, const std::string &text)
    {
        m_loop.runUntil([&peer, &text] {
            peer.poll();
            return peer.received.find(text) != std::string::npos;
        });
    }

    test_loop m_loop;
    manual_clock m_time;
    std::unique_ptr<memory_budget> m_memory;
    std::unique_ptr<raw_server> m_server;
    std::vector<request_id> m_ids;
    std::vector<request_id> m_gone;
    std::vector<rejection> m_rejections;
    std::vector<rejection> m_cuts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(raw_server_memory_test);

} // namespace
} // namespace waxwing::http
