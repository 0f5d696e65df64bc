#include "console/graceful_stop.h"

#include "http/loop_fixture.h"

#include <chrono>
#include <csignal>
#include <optional>

namespace waxwing {

class graceful_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(graceful_stop_test);
    CPPUNIT_TEST(answersRequestsInProgress);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change whose operator never learns its outcome, because the console was
    /// replaced meanwhile.
    void answersRequestsInProgress()
    {
        http::test_loop loop;
        std::optional<http::responder> waiting;
        const auto server =
            http::server::create(loop.base(), {}, [&waiting](const auto &, http::responder to) {
                waiting.emplace(std::move(to));
            }).value();
        const graceful_stop stopping(loop.base(), *server);
        http::client client(loop.base(), {});
        std::optional<http::client::outcome> answer;
        client.send(server->localEndpoint(), {}, std::chrono::seconds(5),
                    [&answer](http::client::outcome outcome) { answer = std::move(outcome); });
        loop.runUntil([&] { return waiting.has_value(); });

        CPPUNIT_ASSERT_EQUAL(0, std::raise(SIGTERM));
        const auto later = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
        loop.runUntil([&] {
            CPPUNIT_ASSERT(!event_base_got_break(loop.base()));
            return std::chrono::steady_clock::now() >= later;
        });
        waiting->respond({200, {}, "done"});
        loop.runUntil([&] { return event_base_got_break(loop.base()) != 0; });
        loop.runUntil([&] { return answer.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("done"), std::get<http::response>(*answer).body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(graceful_stop_test);

} // namespace waxwing
