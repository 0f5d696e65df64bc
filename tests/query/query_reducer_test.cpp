#include "query/query_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

const search_answer &answerOf(const query_simulation::result &result)
{
    const auto *refused = std::get_if<refusal>(&result.outcome);
    if (refused != nullptr)
        CPPUNIT_FAIL("refused: " + refused->code + ": " + refused->detail);
    return std::get<search_answer>(result.outcome);
}

const refusal &refusalOf(const query_simulation::result &result)
{
    CPPUNIT_ASSERT(std::holds_alternative<refusal>(result.outcome));
    return std::get<refusal>(result.outcome);
}

} // namespace

class query_reducer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(query_reducer_test);
    CPPUNIT_TEST(answerContainsBestHitsOfAllShards);
    CPPUNIT_TEST(unresponsiveServerIsHedgedAndCancelled);
    CPPUNIT_TEST(unresponsiveServersDoNotReduceCoverage);
    CPPUNIT_TEST(hedgesStayWithinBudgetWhenAllServersAreSlow);
    CPPUNIT_TEST(lossOfOneReplicaPerShardIsRetriedWithinBudget);
    CPPUNIT_TEST(shardWithoutReplicasIsReportedImmediately);
    CPPUNIT_TEST(searchRestartsOnceWhenSnapshotIsReplaced);
    CPPUNIT_TEST(versionNotHeldReplyProvidesSnapshot);
    CPPUNIT_TEST(answerNeverMixesSnapshots);
    CPPUNIT_TEST(pagesUseFirstSnapshotUntilItIsDropped);
    CPPUNIT_TEST(mismatchedRepliesAreDiscarded);
    CPPUNIT_TEST(partialAnswerIsSentAtDeadline);
    CPPUNIT_TEST(earlyPolicyAnswersWithoutLastShard);
    CPPUNIT_TEST(disconnectedCallerCancelsAllAttempts);
    CPPUNIT_TEST(overloadRefusesSearchesThatWouldMissDeadline);
    CPPUNIT_TEST(failedForwardIsRetriedOnAnotherHolder);
    CPPUNIT_TEST(stoppingHostRefusesNewSearches);
    CPPUNIT_TEST(pausedHostSendsNothingAfterDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hits that are dropped in the merge or are out of order.
    void answerContainsBestHitsOfAllShards()
    {
        query_simulation sim(8, 2, 1);
        const auto result = sim.search("a");
        const search_answer &answer = answerOf(result);
        CPPUNIT_ASSERT(answer.coverage.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8000}, answer.coverage.documentsTotal);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, answer.hits.size());
        CPPUNIT_ASSERT(std::is_sorted(answer.hits.begin(), answer.hits.end(), ranksBefore));
        CPPUNIT_ASSERT(answer.next.has_value() && answer.next->after == answer.hits.back());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, sim.sent);
    }

    /// Guards against shards missing from an answer because servers accept requests and never
    /// reply, also while the hedge budget is used up and while ejected servers are tried again.
    void unresponsiveServersDoNotReduceCoverage()
    {
        query_simulation sim(8, 2, 4);
        sim.warmUp();
        for (const char *id : {"leaf-101-0", "leaf-104-0", "leaf-106-1"})
            sim.leaves[{id}].unresponsive = true;
        int late = 0;
        for (int i = 0; i < 400; ++i) {
            const auto result = sim.search("warm-" + std::to_string(i % 100));
            CPPUNIT_ASSERT(answerOf(result).coverage.isComplete());
            late += result.latency > 100ms ? 1 : 0;
        }
        // Only the requests until the ejection of each server may be late.
        CPPUNIT_ASSERT(late <= 9);
    }

    /// Guards against an answer that is delayed by one hanging server.
    void unresponsiveServerIsHedgedAndCancelled()
    {
        query_simulation sim(8, 2, 2);
        sim.warmUp();
        sim.leaves[{"leaf-103-0"}].unresponsive = true;
        sim.leaves[{"leaf-103-0"}].received = 0;
        const auto result = sim.search("warm-1");
        CPPUNIT_ASSERT(answerOf(result).coverage.isComplete());
        CPPUNIT_ASSERT(result.latency < 20ms);
        CPPUNIT_ASSERT_EQUAL(1, sim.leaves[{"leaf-103-0"}].received);
        CPPUNIT_ASSERT(sim.counters["hedges_total"] >= 1 && sim.cancelled >= 1);
    }

    /// Guards against hedges that increase an overload: all servers become ten times slower.
    void hedgesStayWithinBudgetWhenAllServersAreSlow()
    {
        query_simulation sim(8, 2, 3);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.latency = [](random_engine &random) {
                return std::chrono::microseconds(40000 + random(20000));
            };
        for (int i = 0; i < 100; ++i)
            answerOf(sim.search("warm-" + std::to_string(i)));
        // 3% of 800 requests, plus the burst of 10 hedges.
        CPPUNIT_ASSERT(sim.counters["hedges_total"] <= 34);
        CPPUNIT_ASSERT(sim.counters["hedges_total"] > 0);
    }

    /// Guards against failed searches and doubled load after the loss of a zone: one replica of
    /// each shard crashes.
    void lossOfOneReplicaPerShardIsRetriedWithinBudget()
    {
        query_simulation sim(8, 2, 4);
        sim.warmUp();
        for (int s = 0; s < 8; ++s)
            sim.crash({"leaf-10" + std::to_string(s) + "-0"}, 1h);
        for (int i = 0; i < 200; ++i) {
            const auto result = sim.search("warm-" + std::to_string(i % 100));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), answerOf(result).coverage.isComplete());
        }
        std::cout << " requests per search " << static_cast<double>(sim.sent) / 200 << " of 8 ";
        CPPUNIT_ASSERT(sim.sent <= 200 * 8 * 1.1);
    }

    /// Guards against waiting until the deadline when no replica of a shard is left.
    void shardWithoutReplicasIsReportedImmediately()
    {
        query_simulation sim(4, 2, 5);
        sim.warmUp();
        sim.crash({"leaf-101-0"}, 1h);
        sim.crash({"leaf-101-1"}, 1h);
        const auto result = sim.search("warm-1");
        const search_coverage &coverage = answerOf(result).coverage;
        CPPUNIT_ASSERT(result.latency < 50ms);
        CPPUNIT_ASSERT(coverage.missingShards == std::vector<shard_id>{{"s101"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, coverage.documentsSearched);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, coverage.documentsTotal);
        for (auto &[id, leaf] : sim.leaves)
            leaf.down = true;
        const auto refused = sim.search("warm-1");
        CPPUNIT_ASSERT(refused.latency < 50ms);
        CPPUNIT_ASSERT(refusalOf(refused).execution == execution_state::NotRun);
        CPPUNIT_ASSERT(refusalOf(refused).retryAfter >= 1s);
    }

    /// Guards against searches that fail when the servers replace the snapshot by a newer version.
    void searchRestartsOnceWhenSnapshotIsReplaced()
    {
        query_simulation sim(4, 2, 6);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 3}, {1, 4}};
        const auto result = sim.search("warm-1");
        const search_answer &answer = answerOf(result);
        CPPUNIT_ASSERT(answer.coverage.isComplete());
        CPPUNIT_ASSERT(answer.at.version >= 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sim.counters["restarts_total"]);
        CPPUNIT_ASSERT(answerOf(sim.search("warm-1")).at == (snapshot{1, 4}));
    }

    /// Guards against a host that refuses searches after its start, when no server has reported its
    /// snapshots yet although all are healthy.
    void versionNotHeldReplyProvidesSnapshot()
    {
        query_simulation sim(4, 2, 7);
        sim.hosts[0]->pool = backend_pool(backend_pool_settings{}, zone_id{"z0"});
        sim.hosts[0]->pool.configure(*sim.current, sim.now);
        const auto result = sim.search("a");
        CPPUNIT_ASSERT(answerOf(result).at == (snapshot{1, 1}));
        CPPUNIT_ASSERT(answerOf(result).coverage.isComplete());
    }

    /// Guards against answers with hits from two versions while servers are updated one by one.
    void answerNeverMixesSnapshots()
    {
        const std::uint64_t seed = 20261203;
        std::cout << " seed " << seed << " ";
        query_simulation sim(8, 2, seed);
        random_engine random(seed);
        int whole = 0;
        for (int i = 0; i < 400; ++i) {
            auto leaf = sim.leaves.begin();
            std::advance(leaf, random(16));
            auto &held = leaf->second.held;
            held = {held.back(), {1, held.back().version + (held.back().version < 30 ? 1 : 0)}};
            const auto result = sim.search("q" + std::to_string(i % 50));
            const auto *answer = std::get_if<search_answer>(&result.outcome);
            if (answer == nullptr)
                continue;
            whole += answer->coverage.isComplete() ? 1 : 0;
            const std::string suffix = "-v" + std::to_string(answer->at.version);
            for (const hit &found : answer->hits)
                CPPUNIT_ASSERT(found.id.ends_with(suffix));
        }
        std::cout << " whole " << whole << " of 400 ";
        CPPUNIT_ASSERT(whole > 0);
    }

    /// Guards against pages that skip or repeat documents because the index changed between them.
    void pagesUseFirstSnapshotUntilItIsDropped()
    {
        query_simulation sim(4, 2, 8);
        const search_answer first = answerOf(sim.search("a"));
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 1}, {1, 2}};
        sim.reportHealth();
        sim.search("a");
        const search_answer second = answerOf(sim.search("a", 0, first.next));
        CPPUNIT_ASSERT(second.at == first.at);
        CPPUNIT_ASSERT(ranksBefore(first.hits.back(), second.hits.front()));
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 2}, {1, 3}};
        CPPUNIT_ASSERT_EQUAL(410, refusalOf(sim.search("a", 0, first.next)).status);
        const page_cursor unknown{{9, 1}, first.hits.back()};
        CPPUNIT_ASSERT_EQUAL(410, refusalOf(sim.search("a", 0, unknown)).status);
    }

    /// Guards against answers that contain a malformed reply or one for another service, shard or
    /// snapshot.
    void mismatchedRepliesAreDiscarded()
    {
        const std::vector<std::function<void(leaf_answer &)>> faults{
            [](leaf_answer &a) { a.shard = {"s102"}; },
            [](leaf_answer &a) { a.service = {"other"}; },
            [](leaf_answer &a) { a.at.version += 1; },
            [](leaf_answer &a) { a.at.partitioning += 1; },
            [](leaf_answer &a) { a.documentsSearched = a.documentsTotal + 1; },
            [](leaf_answer &a) { a.hits.push_back(a.hits.front()); },
            [](leaf_answer &a) { std::swap(a.hits[0], a.hits[1]); }};
        for (const auto &fault : faults) {
            query_simulation sim(4, 1, 9);
            sim.warmUp(5);
            sim.leaves[{"leaf-101-0"}].modifyReply = [&](leaf_outcome &outcome) {
                fault(std::get<leaf_answer>(outcome));
            };
            const auto result = sim.search("warm-1");
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, answerOf(result).coverage.documentsSearched);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sim.counters["leaf_mismatches_total"]);
        }
    }

    /// Guards against answers after the deadline, and coverage that counts missing shards as
    /// searched.
    void partialAnswerIsSentAtDeadline()
    {
        query_simulation sim(4, 1, 10);
        sim.warmUp(5);
        sim.leaves[{"leaf-101-0"}].unresponsive = true;
        const auto result = sim.search("warm-1");
        CPPUNIT_ASSERT(result.latency <= 1000ms && result.latency >= 990ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, answerOf(result).coverage.documentsSearched);
        for (auto &[id, leaf] : sim.leaves)
            leaf.unresponsive = true;
        const auto refused = sim.search("warm-2");
        CPPUNIT_ASSERT_EQUAL(504, refusalOf(refused).status);
        CPPUNIT_ASSERT(refusalOf(refused).execution == execution_state::OutcomeUnknown);
    }

    /// Guards against answers that wait for the last shard although the policy prefers an early
    /// answer with the wanted coverage.
    void earlyPolicyAnswersWithoutLastShard()
    {
        query_simulation sim(10, 1, 11);
        auto document = std::make_shared<configuration>(*sim.current);
        document->services[0].policy.prefer = answer_preference::Early;
        document->services[0].policy.wantedCoverage = 0.9;
        sim.configure(document);
        sim.warmUp();
        sim.leaves[{"leaf-101-0"}].unresponsive = true;
        const auto result = sim.search("warm-1");
        CPPUNIT_ASSERT(result.latency < 30ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answerOf(result).coverage.missingShards.size());
        sim.leaves[{"leaf-102-0"}].unresponsive = true;
        CPPUNIT_ASSERT(sim.search("warm-2").latency > 900ms);
    }

    /// Guards against work for disconnected callers, and attempts that are never freed.
    void disconnectedCallerCancelsAllAttempts()
    {
        query_simulation sim(4, 2, 12);
        sim.warmUp(5);
        sim.cancelled = 0;
        const auto id = sim.start("warm-1");
        sim.call(0, [&](reduce_context &context, query_environment &environment) {
            sim.hosts[0]->queries.onCallerGone(context, environment, {id});
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, sim.cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sim.hosts[0]->queries.inProgress());
        sim.runFor(100ms);
        CPPUNIT_ASSERT(sim.results.count(id) == 0);
        CPPUNIT_ASSERT(!sim.hosts[0]->queries.nextDeadline().has_value());
        answerOf(sim.search("warm-1"));
    }

    /// Guards against an overload in which every search is started and none is answered in time.
    void overloadRefusesSearchesThatWouldMissDeadline()
    {
        query_simulation sim(4, 2, 13);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.latency = [](random_engine &) { return 100ms; };
        int whole = 0;
        int refused = 0;
        std::vector<std::uint64_t> ids;
        // 8 servers with at most 16 requests of 100 ms in progress serve 320 searches/s; sends
        // twice that.
        for (int i = 0; i < 2560; ++i) {
            ids.push_back(sim.start("warm-" + std::to_string(i % 100)));
            sim.runFor(1562us);
        }
        sim.runFor(2s);
        for (const auto id : ids) {
            const auto &result = sim.results.at(id);
            if (const auto *answer = std::get_if<search_answer>(&result.outcome)) {
                whole += answer->coverage.isComplete() ? 1 : 0;
                continue;
            }
            ++refused;
            if (refusalOf(result).execution == execution_state::NotRun)
                CPPUNIT_ASSERT(refusalOf(result).retryAfter >= 1s);
        }
        std::cout << " whole " << whole << ", refused " << refused << " of 2560 in 4 s ";
        CPPUNIT_ASSERT(whole >= 1152); // 0.9 of the 1,280 that the servers can answer in 4 s
    }

    /// Guards against searches that fail with the first holder of the service.
    void failedForwardIsRetriedOnAnotherHolder()
    {
        query_simulation sim(4, 1, 14, 4);
        sim.holders = {{"host-1"}, {"host-2"}, {"host-3"}};
        sim.members[{"host-1"}].zone = {"z1"};
        sim.members[{"host-3"}].state = member_state::Leaving;
        const auto id = sim.start("a");
        const auto *first = std::get_if<forward_search>(&sim.otherEffects.back());
        CPPUNIT_ASSERT_MESSAGE("the holder in the same zone is tried first",
                               first && first->peer.port == 9002);
        CPPUNIT_ASSERT(first->request.timeout < 998ms);
        end(sim, first->attempt, forward_failure{false, ""});
        const auto second = std::get<forward_search>(sim.otherEffects.back());
        CPPUNIT_ASSERT(second.peer.port == 9001);
        end(sim, second.attempt, search_answer{{"desk"}, {1, 1}, {}, {4000, 4000, {}}, {}});
        CPPUNIT_ASSERT(answerOf(sim.results.at(id)).coverage.isComplete());
        const auto lost = sim.start("b");
        for (int i = 0; i < 2; ++i)
            end(sim, std::get<forward_search>(sim.otherEffects.back()).attempt,
                forward_failure{true, ""});
        CPPUNIT_ASSERT(refusalOf(sim.results.at(lost)).execution
                       == execution_state::OutcomeUnknown);
    }

    /// Guards against searches that are aborted by the end of the process.
    void stoppingHostRefusesNewSearches()
    {
        query_simulation sim(4, 1, 15);
        sim.stopping = true;
        const auto result = sim.search("a");
        CPPUNIT_ASSERT_EQUAL(std::string("draining"), refusalOf(result).code);
        CPPUNIT_ASSERT(refusalOf(result).execution == execution_state::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sim.sent);
    }

    /// Guards against a host that was paused and then sends requests for searches past their
    /// deadline.
    void pausedHostSendsNothingAfterDeadline()
    {
        query_simulation sim(4, 1, 16);
        const auto id = sim.start("a");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sim.sent);
        sim.now += 10s;
        sim.runUntil([&] { return sim.results.count(id) != 0; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sim.sent);
    }

private:
    static void end(query_simulation &sim, attempt_id attempt,
                    std::variant<search_outcome, forward_failure> outcome)
    {
        sim.call(0, [&](reduce_context &context, query_environment &environment) {
            sim.hosts[0]->queries.onForwarded(context, environment, {attempt, std::move(outcome)});
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(query_reducer_test);

} // namespace waxwing
