#include "query/query_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

/// Returns a latency of 4 to 6 ms, and ten times as much for one reply in a hundred.
duration slowedLatency(random_engine &random)
{
    const auto usual = std::chrono::microseconds(4000 + random(2000));
    return random(100) == 0 ? usual * 10 : usual;
}

/// Injects a random fault into a random server, updates the index on all servers, or ends the
/// faults of the server.
void injectFault(query_simulation &sim, random_engine &random)
{
    auto chosen = sim.leaves.begin();
    std::advance(chosen, random(static_cast<std::uint32_t>(sim.leaves.size())));
    auto &leaf = chosen->second;
    switch (random(6)) {
    case 0:
        sim.crash(chosen->first, std::chrono::milliseconds(random(2000)));
        break;
    case 1:
        leaf.unresponsive = !leaf.unresponsive;
        break;
    case 2:
        leaf.overloaded = !leaf.overloaded;
        break;
    case 3:
        leaf.latency = slowedLatency;
        break;
    case 4:
        for (auto &[id, each] : sim.leaves)
            each.held = {{1, each.held.back().version}, {1, each.held.back().version + 1}};
        break;
    default:
        leaf.unresponsive = false;
        leaf.overloaded = false;
    }
}

} // namespace

class query_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(query_faults_test);
    CPPUNIT_TEST(refusalsAndCoverageStayCorrectUnderFaults);
    CPPUNIT_TEST(sameSeedGivesSameAnswers);
    CPPUNIT_TEST(hedgesHalveTailLatency);
    CPPUNIT_TEST(duplicateAndLateRepliesAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals with `NotRun` for searches of which a server ran a part, and against
    /// coverage whose searched and missing documents do not add up to the total.
    void refusalsAndCoverageStayCorrectUnderFaults()
    {
        int refused = 0;
        int notRun = 0;
        int partial = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            query_simulation sim(8, 2, seed);
            run(sim, seed);
            CPPUNIT_ASSERT_EQUAL(std::size_t{300}, sim.results.size());
            for (const auto &[id, result] : sim.results) {
                const std::string text =
                    "seed " + std::to_string(seed) + " search " + std::to_string(id);
                CPPUNIT_ASSERT_MESSAGE(text, result.latency <= 1000ms);
                if (const auto *refusal = std::get_if<waxwing::refusal>(&result.outcome)) {
                    ++refused;
                    if (refusal->execution == execution_state::OutcomeUnknown)
                        continue;
                    ++notRun;
                    CPPUNIT_ASSERT_MESSAGE(
                        text, sim.possiblyRunQueries.count("q" + std::to_string(id)) == 0);
                    CPPUNIT_ASSERT_MESSAGE(text, refusal->retryAfter >= 1s);
                    continue;
                }
                const auto &coverage = std::get<search_answer>(result.outcome).coverage;
                partial += coverage.isComplete() ? 0 : 1;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{8000}, coverage.documentsTotal);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{8000},
                                             coverage.documentsSearched
                                                 + 1000 * coverage.missingShards.size());
            }
        }
        std::cout << " refused " << refused << ", of them not run " << notRun << ", partial "
                  << partial << " of 6000 ";
        CPPUNIT_ASSERT(notRun > 0 && partial > 0);
    }

    /// Guards against results that depend on the iteration order of a hash map or on memory
    /// addresses.
    void sameSeedGivesSameAnswers()
    {
        query_simulation first(8, 2, 7);
        query_simulation second(8, 2, 7);
        run(first, 7);
        run(second, 7);
        CPPUNIT_ASSERT_EQUAL(first.sent, second.sent);
        for (const auto &[id, result] : first.results) {
            CPPUNIT_ASSERT(result.outcome == second.results.at(id).outcome);
            CPPUNIT_ASSERT(result.latency == second.results.at(id).latency);
        }
    }

    /// Guards against missing or late hedges. With 130 shards and one slow reply in 100, most
    /// searches have a slow reply, which determines their latency unless it is hedged.
    void hedgesHalveTailLatency()
    {
        std::vector<duration> p99;
        for (const double budget : {0.0, 0.03}) {
            query_simulation sim(130, 2, 1);
            auto document = std::make_shared<configuration>(*sim.current);
            document->services[0].policy.hedgeBudget = budget;
            sim.configure(document);
            for (auto &[id, leaf] : sim.leaves)
                leaf.latency = slowedLatency;
            // Uses up the initial burst budget, so that the steady state is measured.
            sim.warmUp(300);
            std::vector<duration> all;
            for (int i = 0; i < 1000; ++i) {
                const auto result = sim.search("warm-" + std::to_string(i % 100));
                const auto &answer = std::get<search_answer>(result.outcome);
                CPPUNIT_ASSERT(answer.coverage.isComplete());
                all.push_back(result.latency);
            }
            std::sort(all.begin(), all.end());
            p99.push_back(all[990]);
            const double extra = static_cast<double>(sim.sent) / (1000 * 130) - 1;
            std::cout << " budget " << budget << " p50 " << all[500] / 1us << " us p99 "
                      << all[990] / 1us << " us extra " << extra;
            CPPUNIT_ASSERT(extra <= 0.05);
        }
        CPPUNIT_ASSERT(p99[1] * 2 <= p99[0]);
    }

    /// Guards against replies that are merged twice or accepted after their search has ended.
    void duplicateAndLateRepliesAreIgnored()
    {
        query_simulation sim(4, 1, 3);
        sim.warmUp(5);
        const auto firstAttempt = sim.hosts[0]->lastAttempt + 1;
        const auto id = sim.start("warm-1");
        leaf_answer reply{{"desk"}, {"s100"}, {1, 1}, 1000, 1000, {{"a", 5000}}, {{1, 1}}};
        CPPUNIT_ASSERT(deliverReply(sim, firstAttempt, reply));
        CPPUNIT_ASSERT(!deliverReply(sim, firstAttempt, reply));
        sim.runUntil([&] { return sim.results.count(id) != 0; });
        const auto &answer = std::get<search_answer>(sim.results.at(id).outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, answer.coverage.documentsSearched);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                             std::count(answer.hits.begin(), answer.hits.end(), hit{"a", 5000}));
        CPPUNIT_ASSERT(!deliverReply(sim, firstAttempt + 1, reply));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sim.hosts[0]->queries.inProgress());
    }

private:
    /// Runs 300 searches while `injectFault` and health reports occur at random.
    static void run(query_simulation &sim, std::uint64_t seed)
    {
        random_engine random(seed);
        for (int i = 0; i < 300; ++i) {
            if (random(8) == 0)
                injectFault(sim, random);
            if (random(20) == 0)
                sim.reportHealth();
            sim.start("q" + std::to_string(i + 1));
            sim.runFor(std::chrono::microseconds(random(20000)));
        }
        sim.runFor(3s);
    }

    /// Returns whether the reducer accepted the reply as one of its own.
    static bool deliverReply(query_simulation &sim, std::uint64_t attempt,
                             const leaf_outcome &outcome)
    {
        bool own = false;
        sim.call(0, [&](reduce_context &context, query_environment &environment) {
            own = sim.hosts[0]->queries.onLeafSearch(context, environment, {{attempt}, outcome});
        });
        return own;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(query_faults_test);

} // namespace waxwing
