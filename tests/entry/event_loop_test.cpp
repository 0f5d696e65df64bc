#include "configuration/parse.h"
#include "entry/entry_settings.h"
#include "entry/event_loop.h"
#include "entry/replay.h"
#include "events/event_json.h"
#include "http/loop_fixture.h"

#include <algorithm>
#include <csignal>
#include <sstream>

namespace waxwing {
namespace {
class manual_clock final : public clock
{
public:
    time_point now() const override { return time_point(std::chrono::hours(1)) + elapsed; }
    wall_time wallNow() const override
    {
        return wall_time(std::chrono::milliseconds(1790000000000))
            + std::chrono::floor<std::chrono::milliseconds>(elapsed);
    }
    duration elapsed{0};
};

/// One service with two shards; both backend servers hold both shards.
configuration_copy someConfiguration()
{
    configuration document;
    document.revision = 1;
    document.changeId = "c";
    document.changedBy = "me";
    document.reason = "why";
    document.shutdownAt = wall_time(std::chrono::milliseconds(1990000000000));
    document.zones = {{"z"}};
    for (const char *id : {"b0", "b1"}) {
        backend_server server;
        server.id.value = id;
        server.zone.value = "z";
        server.address = {"127.0.0.1", static_cast<std::uint16_t>(9 + document.servers.size())};
        document.servers.push_back(server);
    }
    service desk;
    desk.id.value = "desk";
    desk.partitionings = {{1, {{{"s0"}, 10, {{"b0"}, {"b1"}}}, {{"s1"}, 10, {{"b0"}, {"b1"}}}}}};
    document.services = {desk};
    auto parsed = parseConfiguration(formatConfiguration(document));
    CPPUNIT_ASSERT_MESSAGE(std::string(parsed.status().message()), parsed.ok());
    return *std::move(parsed);
}

member self()
{
    return {{"h"}, {"z"}, {"127.0.0.1", 1}, {"127.0.0.1", 2}, 1, member_state::Alive, 0};
}

leaf_answer replyTo(const leaf_search &search)
{
    return {search.service, search.shard, search.at, 10, 10, {}, {search.at}};
}

template<typename Type>
std::size_t countOf(const effect_list &effects)
{
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(),
                      [](const effect &action) { return std::holds_alternative<Type>(action); }));
}

} // namespace

class event_loop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_loop_test);
    CPPUNIT_TEST(replayedRecordingGivesIdenticalRun);
    CPPUNIT_TEST(tickIsSentAtTheDeadline);
    CPPUNIT_TEST(signalBecomesStopEvent);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_base;
    manual_clock m_time;
    std::string m_lines;
    std::vector<event> m_events;
    effect_list m_effects;
    std::unique_ptr<event_loop> m_loop;

    /// Posts the result of effects that expect one while the effect is still being performed.
    void carryOut(const effect &action)
    {
        m_effects.push_back(action);
        if (const auto *call = std::get_if<call_platform>(&action)) {
            const auto document = someConfiguration();
            using status_kind = platform_result::status_kind;
            if (call->call.kind == "configuration"
                && call->call.method == platform_call::method_kind::Get)
                m_loop->post(platform_finished{
                    call->attempt, {status_kind::Done, 1, document.text, ""}, document});
        }
        if (const auto *health = std::get_if<poll_health>(&action)) {
            const std::vector<snapshot> held{{1, 1}};
            m_loop->post(leaf_health_reported{
                health->server,
                {false, false, {{{"desk"}, {"s0"}, held}, {{"desk"}, {"s1"}, held}}}});
        }
        if (const auto *sent = std::get_if<send_leaf_search>(&action))
            m_loop->post(leaf_search_finished{sent->attempt, replyTo(sent->search)});
    }

    void start()
    {
        m_loop = std::make_unique<event_loop>(
            m_base.base(), m_time, entry_state::create({}),
            [this](const effect &action) { carryOut(action); },
            [this](const event &input) {
                m_events.push_back(input);
                m_lines += formatEvent(input) + "\n";
            });
        m_loop->post(started{self(), {{"127.0.0.1", 3}}, 42, {{"127.0.0.1", 4}}});
    }

    template<typename Type>
    bool hasEvent() const
    {
        return std::any_of(m_events.begin(), m_events.end(), [](const event &input) {
            return std::holds_alternative<Type>(input.body);
        });
    }

    /// Advances the clock in steps of 100 ms, with a tick after each.
    void advanceTime(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_time.elapsed += std::chrono::milliseconds(100);
            m_loop->post(tick{});
        }
    }

public:
    void tearDown() override { m_loop.reset(); }

    /// Guards against recordings whose replay differs from the recorded run.
    void replayedRecordingGivesIdenticalRun()
    {
        start();
        advanceTime(60);
        CPPUNIT_ASSERT(m_loop->state().isReady());
        for (std::uint64_t i = 1; i <= 20; ++i) {
            search_request request;
            request.service.value = "desk";
            request.query = "query " + std::to_string(i);
            m_loop->post(search_received{{i}, request, false});
            advanceTime(1);
        }
        m_loop->post(stop_requested{});
        advanceTime(400);
        CPPUNIT_ASSERT(countOf<send_leaf_search>(m_effects) >= 40);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, countOf<answer_search>(m_effects));
        CPPUNIT_ASSERT(countOf<exit_process>(m_effects) >= 1);

        std::istringstream lines(m_lines);
        const auto replayed = replayEvents(lines, {});
        CPPUNIT_ASSERT_MESSAGE(std::string(replayed.status().message()), replayed.ok());
        CPPUNIT_ASSERT_EQUAL(m_events.size(), replayed->size());
        effect_list effects;
        for (const effect_list &each : *replayed)
            effects.insert(effects.end(), each.begin(), each.end());
        CPPUNIT_ASSERT_EQUAL(m_effects.size(), effects.size());
        CPPUNIT_ASSERT(effects == m_effects);

        std::istringstream damaged(m_lines.substr(0, m_lines.size() / 2));
        CPPUNIT_ASSERT(!replayEvents(damaged, {}).ok());
    }

    /// Guards against a missing tick at a deadline and against a tick before it.
    void tickIsSentAtTheDeadline()
    {
        start();
        // Work at start may be due again immediately, but only a bounded number of times.
        for (int i = 0; i < 10 && m_loop->state().nextDeadline() <= m_time.now(); ++i)
            m_loop->post(tick{});
        CPPUNIT_ASSERT(m_loop->state().nextDeadline() > m_time.now());
        m_events.clear();
        const timeval soon{0, 20'000};
        event_base_loopexit(m_base.base(), &soon);
        event_base_dispatch(m_base.base());
        CPPUNIT_ASSERT(!hasEvent<tick>());
        // The test clock jumps, so an event is needed to set the timer again.
        m_time.elapsed += std::chrono::seconds(5);
        m_loop->post(caller_gone{{1}});
        m_base.runUntil([this] { return hasEvent<tick>(); });
    }

    /// Guards against a SIGTERM that ends the process while requests are in progress.
    void signalBecomesStopEvent()
    {
        start();
        std::raise(SIGTERM);
        m_base.runUntil([this] { return hasEvent<stop_requested>(); });
        CPPUNIT_ASSERT(!m_loop->state().isReady());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_loop_test);

} // namespace waxwing
