#include "query/query_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class version_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_restart_test);
    CPPUNIT_TEST(knownQueryIsWholeAfterTwoVersions);
    CPPUNIT_TEST(newQueryIsWholeAfterTwoVersions);
    CPPUNIT_TEST(takesTheVersionThatLaggingShardsHold);
    CPPUNIT_TEST(takesTheNewestOfReportsThatDiffer);
    CPPUNIT_TEST(takesNoVersionThatOnlyOldReportsHave);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against shards that are lost because the reports of the other shards, which are as
    /// old as the one that a refusal has just corrected, leave no snapshot to restart on.
    void knownQueryIsWholeAfterTwoVersions() { checkWholeAfterTwoVersions("warm-1"); }

    /// Guards against the same where only the canary shard was asked before the restart.
    void newQueryIsWholeAfterTwoVersions() { checkWholeAfterTwoVersions("linocut"); }

    /// Guards against a restart on a version that is newer than what other shards were updated to.
    void takesTheVersionThatLaggingShardsHold()
    {
        query_simulation sim(4, 2, 31);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 1}, {1, 2}};
        for (const auto &replica : sim.current->services[0].partitionings[0].shards[2].replicas)
            sim.leaves.at(replica).held = {{1, 2}, {1, 3}};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, wholeVersion(sim.search("warm-1")));
    }

    /// Guards against a restart on a version that only an older report of a shard's other replica
    /// has: it is refused everywhere, and the search has no second restart.
    void takesTheNewestOfReportsThatDiffer()
    {
        // The query decides which shard is the canary.
        for (const std::string query : {"q1", "q2", "q3", "q4", "q5", "q6"}) {
            query_simulation sim(3, 2, 32);
            sim.warmUp();
            for (auto &[id, leaf] : sim.leaves)
                leaf.held = {{1, 3}, {1, 4}};
            for (const shard &part : sim.current->services[0].partitionings[0].shards) {
                const bool old = part.id.value == "s102";
                const std::vector<snapshot> held{{1, old ? 1U : 2U}, {1, old ? 1U : 3U}};
                sim.hosts[0]->pool.onSnapshotsReported(part.replicas[0], {"desk"}, part.id, held,
                                                       sim.now);
            }
            CPPUNIT_ASSERT_MESSAGE(query, wholeVersion(sim.search(query)) >= 3);
        }
    }

    /// Guards against a restart on a version that is whole only by the reports that have just
    /// turned out to be old: every server refuses it, and the search is refused as a whole.
    void takesNoVersionThatOnlyOldReportsHave()
    {
        query_simulation sim(3, 2, 33);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 4}, {1, 5}};
        for (const shard &part : sim.current->services[0].partitionings[0].shards)
            sim.hosts[0]->pool.onSnapshotsReported(part.replicas[1], {"desk"}, part.id,
                                                   {{1, 2}, {1, 3}}, sim.now);
        CPPUNIT_ASSERT(wholeVersion(sim.search("warm-1")) >= 4);
    }

private:
    static void checkWholeAfterTwoVersions(const std::string &query)
    {
        query_simulation sim(8, 2, 30);
        sim.warmUp();
        // The host still believes that every server holds only version 1.
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 2}, {1, 3}};
        // The replicas of two shards take longer than both refusals of another shard.
        for (std::size_t slow : {3U, 5U})
            for (const auto &id : sim.current->services[0].partitionings[0].shards[slow].replicas)
                sim.leaves.at(id).latency = [](random_engine &) {
                    return std::chrono::milliseconds(25);
                };
        CPPUNIT_ASSERT(wholeVersion(sim.search(query)) >= 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sim.counters["restarts_total"]);
    }

    /// Version of a whole answer.
    static std::uint64_t wholeVersion(const query_simulation::result &done)
    {
        const auto *answer = std::get_if<search_answer>(&done.outcome);
        CPPUNIT_ASSERT_MESSAGE("refused", answer != nullptr);
        CPPUNIT_ASSERT_MESSAGE("partial", answer->coverage.isWhole());
        return answer->at.version;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_restart_test);

} // namespace waxwing
