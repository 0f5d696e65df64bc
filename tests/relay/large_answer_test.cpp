#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

/// Tests which answers may reach their callers in pieces.
class large_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(large_answer_test);
    CPPUNIT_TEST(answersOfOneServerMayComeInPieces);
    CPPUNIT_TEST(partsAreNeededWhole);
    CPPUNIT_TEST(forwardedRequestsAreAnsweredWhole);
    CPPUNIT_TEST(answersThatCameInPiecesKeepTheirRest);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersOfOneServerMayComeInPieces()
    {
        relay_simulation simulation({});
        call(simulation, "/one/");
        CPPUNIT_ASSERT(!simulation.leafCalls.empty());
        CPPUNIT_ASSERT(std::all_of(simulation.leafCalls.begin(), simulation.leafCalls.end(),
                                   [](const send_to_leaf &each) { return each.mayStream; }));
    }

    /// Guards against a part that is passed on in place of the merged answer.
    void partsAreNeededWhole()
    {
        relay_simulation simulation({});
        call(simulation, "/all/");
        CPPUNIT_ASSERT(!simulation.leafCalls.empty());
        CPPUNIT_ASSERT(std::none_of(simulation.leafCalls.begin(), simulation.leafCalls.end(),
                                    [](const send_to_leaf &each) { return each.mayStream; }));
    }

    /// Guards against a host that begins an answer that the host that forwarded the request cannot
    /// pass on.
    void forwardedRequestsAreAnsweredWhole()
    {
        relay_simulation simulation({});
        simulation.at(2s, [&] { simulation.hostsRefusedByServers = {0}; });
        simulation.at(3s, [&] {
            for (int i = 0; i < 20; ++i)
                simulation.send(0, "/one/");
        });
        simulation.at(4s, [&] {
            simulation.leafCalls.clear();
            simulation.recordsCalls = true;
            simulation.send(0, "/one/");
        });
        simulation.runUntil(7s);
        CPPUNIT_ASSERT(!simulation.forwardCalls.empty());
        CPPUNIT_ASSERT_EQUAL(200, simulation.requests.back().status());
        CPPUNIT_ASSERT(std::any_of(simulation.leafCalls.begin(), simulation.leafCalls.end(),
                                   [](const send_to_leaf &each) { return !each.mayStream; }));
    }

    /// Guards against the beginning of an answer that is taken for all of it.
    void answersThatCameInPiecesKeepTheirRest()
    {
        relay_simulation simulation({});
        simulation.answerRest = answer_rest{{}, 60'000'000};
        call(simulation, "/one/");
        const auto &answer = std::get<leaf_reply>(simulation.requests.back().answer);
        CPPUNIT_ASSERT(answer.rest.has_value());
        CPPUNIT_ASSERT(answer.rest->length == std::uint64_t{60'000'000});
        CPPUNIT_ASSERT(answer.rest->attempt == simulation.leafCalls.back().attempt);
    }

private:
    static void call(relay_simulation &simulation, const std::string &target)
    {
        simulation.at(3s, [&simulation, target] {
            simulation.recordsCalls = true;
            simulation.send(0, target);
        });
        simulation.runUntil(5s);
        CPPUNIT_ASSERT_EQUAL(200, simulation.requests.back().status());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_answer_test);

} // namespace
} // namespace waxwing::relay
