#include "entry/caller_front.h"
#include "http/loop_fixture.h"

namespace waxwing {
class caller_front_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_front_test);
    CPPUNIT_TEST(responseReachesItsOwnCaller);
    CPPUNIT_TEST(disconnectedCallerIsReported);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    request_numbers m_numbers;
    metrics_registry m_metrics;
    std::vector<event_body> m_events;
    std::unique_ptr<caller_front> m_front;

    static std::string searchText(const std::string &query)
    {
        return "GET /v1/services/s/search?q=" + query + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

public:
    void setUp() override
    {
        auto created =
            caller_front::create(m_loop.base(), {}, m_numbers, m_metrics,
                                 [this](event_body body) { m_events.push_back(std::move(body)); });
        CPPUNIT_ASSERT(created.ok());
        m_front = *std::move(created);
    }
    void tearDown() override { m_front.reset(); }

    /// Guards against a response that is sent to another caller (P3).
    void responseReachesItsOwnCaller()
    {
        http::raw_connection first(m_front->localEndpoint());
        http::raw_connection second(m_front->localEndpoint());
        first.write(searchText("one"));
        second.write(searchText("two"));
        m_loop.runUntil([&] { return m_events.size() == 2; });
        for (const auto &body : m_events) {
            const auto &received = std::get<search_received>(body);
            search_answer answer;
            answer.hits = {{"hit-" + received.request.query, 1}};
            CPPUNIT_ASSERT(m_front->answer(received.id, search_outcome(answer)));
            CPPUNIT_ASSERT(!m_front->answer(received.id, search_outcome(answer)));
        }
        m_loop.runUntil([&] {
            first.poll();
            second.poll();
            return first.received.ends_with("}") && second.received.ends_with("}");
        });
        CPPUNIT_ASSERT(first.received.find("hit-one") != std::string::npos);
        CPPUNIT_ASSERT(second.received.find("hit-two") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_metrics.counter("caller_responses_200_total"));
    }

    /// Guards against work that continues for a caller that disconnected.
    void disconnectedCallerIsReported()
    {
        http::raw_connection caller(m_front->localEndpoint());
        caller.write(searchText("one"));
        m_loop.runUntil([&] { return m_events.size() == 1; });
        const auto id = std::get<search_received>(m_events[0]).id;
        caller.close();
        m_loop.runUntil([&] { return m_events.size() == 2; });
        CPPUNIT_ASSERT(std::get<caller_gone>(m_events[1]).id == id);
        CPPUNIT_ASSERT(!m_front->answer(id, search_outcome(search_answer{})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_front_test);

} // namespace waxwing
