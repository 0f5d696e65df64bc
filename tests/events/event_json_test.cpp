#include "configuration/parse.h"
#include "events/event_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace waxwing {
namespace {

event at(event_body body)
{
    return {time_point(std::chrono::nanoseconds(123456789012345)),
            wall_time(std::chrono::milliseconds(1790000000123)), std::move(body)};
}

const member self{{"h1"}, {"z"}, {"127.0.0.1", 1}, {"127.0.0.1", 2}, 7, member_state::Suspect, 9};
const refusal refused{503, "overloaded", "x", execution_state::OutcomeUnknown,
                      std::chrono::milliseconds(70)};
const leaf_failure failed{leaf_error::VersionNotHeld, "d", std::chrono::milliseconds(5), {{1, 2}}};
const search_answer answered{{"s"},
                             {2, std::numeric_limits<std::uint64_t>::max()},
                             {{"d1", 0.1 + 0.2}, {"d2", 1e-300}},
                             {50, 100, {{"s1"}}},
                             page_cursor{{2, 8}, {"d2", -0.0}}};

configuration_copy someConfiguration()
{
    configuration document;
    document.revision = 3;
    document.changeId = "c";
    document.changedBy = "me";
    document.reason = "why";
    document.shutdownAt = wall_time(std::chrono::milliseconds(1990000000000));
    document.zones = {{"z"}};
    auto parsed = parseConfiguration(formatConfiguration(document));
    CPPUNIT_ASSERT_MESSAGE(std::string(parsed.status().message()), parsed.ok());
    return *std::move(parsed);
}

/// One or two events of each kind, with every field set.
std::vector<event> everyEvent()
{
    const search_request search{{"s"},
                                "caf\u00e9 \"\n",
                                3,
                                page_cursor{{1, 2}, {"d", 0.5}},
                                std::chrono::milliseconds(40),
                                "c",
                                {1, ~0ULL, 3, true}};
    const command_request command{
        {"s"}, "k", "d", "o", "{\"a\":1}", std::chrono::milliseconds(40), "c", {1, 2, 3, false}};
    const fact quarantined{fact_kind::RequestQuarantined, "x", {"h1"}, 3, 4,
                           std::chrono::milliseconds(50)};
    const gossip_message gossip{
        gossip_message::message_kind::IndirectProbe, self, 5, 6, {"h2"}, {self}, {quarantined}};
    const auto document = someConfiguration();
    return {
        at(tick{}),
        at(started{self, {{"127.0.0.1", 3}}, 42, {{"127.0.0.1", 4}}}),
        at(stop_requested{}),
        at(search_received{{1}, search, true}),
        at(command_received{{2}, command, false}),
        at(caller_gone{{3}}),
        at(leaf_search_finished{{4},
                                leaf_answer{{"s"}, {"1"}, {1, 2}, 3, 4, {{"d", 1}}, {{1, 2}}}}),
        at(leaf_search_finished{{4}, failed}),
        at(leaf_command_finished{{5}, leaf_command_answer{"{}"}}),
        at(leaf_command_finished{{5}, failed}),
        at(leaf_health_reported{{"b"}, {true, true, {{{"s"}, {"1"}, {{1, 2}}}}}}),
        at(forwarded_search_finished{{6}, search_outcome(answered)}),
        at(forwarded_search_finished{{6}, search_outcome(refused)}),
        at(forwarded_search_finished{{6}, forward_failure{false, "d"}}),
        at(forwarded_command_finished{{7}, command_outcome(command_answer{{"s"}, "1", true})}),
        at(forwarded_command_finished{{7}, command_outcome(refused)}),
        at(platform_finished{
            {8}, {platform_result::status_kind::Conflict, 4, "{}", "d"}, document}),
        at(platform_finished{{8}, {}, {}}),
        at(datagram_received{{"127.0.0.1", 5}, gossip}),
        at(peer_state_fetched{{9}, true, {{self}, {quarantined}, document.text}, document}),
    };
}

} // namespace

class event_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_json_test);
    CPPUNIT_TEST(everyEventRoundTrips);
    CPPUNIT_TEST(damagedLinesAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against replays that differ from the recorded run because a field is lost or rounded.
    void everyEventRoundTrips()
    {
        std::vector<bool> seen(std::variant_size_v<event_body>);
        for (const event &input : everyEvent()) {
            const std::string line = formatEvent(input);
            CPPUNIT_ASSERT_EQUAL(std::string::npos, line.find('\n'));
            const auto parsed = parseEvent(line);
            CPPUNIT_ASSERT_MESSAGE(line + std::string(parsed.status().message()), parsed.ok());
            CPPUNIT_ASSERT_MESSAGE(line, *parsed == input);
            CPPUNIT_ASSERT_EQUAL(line, formatEvent(*parsed));
            seen[input.body.index()] = true;
        }
        for (const bool kind : seen)
            CPPUNIT_ASSERT(kind);
        const auto document =
            std::get<platform_finished>(parseEvent(formatEvent(everyEvent()[16]))->body)
                .parsed.document;
        CPPUNIT_ASSERT(document != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, document->revision);
    }

    /// Guards against crashes on truncated or edited recordings.
    void damagedLinesAreErrors()
    {
        for (const event &input : everyEvent()) {
            const std::string line = formatEvent(input);
            for (std::size_t size = 0; size < line.size(); size += 7)
                CPPUNIT_ASSERT(!parseEvent(line.substr(0, size)).ok());
        }
        CPPUNIT_ASSERT(!parseEvent(R"({"at":1,"wall":2,"body":{"kind":"none","value":{}}})").ok());
        CPPUNIT_ASSERT(
            !parseEvent(R"({"at":"1","wall":2,"body":{"kind":"tick","value":{}}})").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_json_test);

} // namespace waxwing
