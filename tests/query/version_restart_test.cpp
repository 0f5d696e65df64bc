#include "query/query_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class version_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_restart_test);
    CPPUNIT_TEST(knownQueryIsCompleteAfterTwoVersionChanges);
    CPPUNIT_TEST(newQueryIsCompleteAfterTwoVersionChanges);
    CPPUNIT_TEST(restartUsesVersionHeldByLaggingShards);
    CPPUNIT_TEST(restartUsesNewestOfDifferingReports);
    CPPUNIT_TEST(restartAvoidsVersionsOnlyInOutdatedReports);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against lost shards after two version changes. A refusal updates the report of one
    /// shard only. The reports of the other shards are still outdated, so that no snapshot seems
    /// complete and the search finds none to restart on.
    void knownQueryIsCompleteAfterTwoVersionChanges()
    {
        checkCompleteAfterTwoVersionChanges("warm-1");
    }

    /// Guards against the same failure where only the canary shard was sent before the restart.
    void newQueryIsCompleteAfterTwoVersionChanges()
    {
        checkCompleteAfterTwoVersionChanges("linocut");
    }

    /// Guards against a restart on a version that lagging shards do not hold yet. One shard holds
    /// versions 2 and 3, the others only 1 and 2.
    void restartUsesVersionHeldByLaggingShards()
    {
        query_simulation sim(4, 2, 31);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 1}, {1, 2}};
        for (const auto &replica : sim.current->services[0].partitionings[0].shards[2].replicas)
            sim.leaves.at(replica).held = {{1, 2}, {1, 3}};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, completeAnswerVersion(sim.search("warm-1")));
    }

    /// Guards against a restart on a version that only an outdated report of a shard's other
    /// replica lists. Every server refuses that version, and a search restarts only once.
    void restartUsesNewestOfDifferingReports()
    {
        // The canary shard depends on the query.
        for (const std::string query : {"q1", "q2", "q3", "q4", "q5", "q6"}) {
            query_simulation sim(3, 2, 32);
            sim.warmUp();
            for (auto &[id, leaf] : sim.leaves)
                leaf.held = {{1, 3}, {1, 4}};
            for (const shard &part : sim.current->services[0].partitionings[0].shards) {
                const bool outdated = part.id.value == "s102";
                const std::vector<snapshot> held{{1, outdated ? 1U : 2U}, {1, outdated ? 1U : 3U}};
                sim.hosts[0]->pool.onSnapshotsReported(part.replicas[0], {"desk"}, part.id, held,
                                                       sim.now);
            }
            CPPUNIT_ASSERT_MESSAGE(query, completeAnswerVersion(sim.search(query)) >= 3);
        }
    }

    /// Guards against a restart on a version that only outdated reports list for every shard. A
    /// refusal has just shown that they are outdated; every server refuses the version, and the
    /// whole search fails.
    void restartAvoidsVersionsOnlyInOutdatedReports()
    {
        query_simulation sim(3, 2, 33);
        sim.warmUp();
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 4}, {1, 5}};
        for (const shard &part : sim.current->services[0].partitionings[0].shards)
            sim.hosts[0]->pool.onSnapshotsReported(part.replicas[1], {"desk"}, part.id,
                                                   {{1, 2}, {1, 3}}, sim.now);
        CPPUNIT_ASSERT(completeAnswerVersion(sim.search("warm-1")) >= 4);
    }

private:
    static void checkCompleteAfterTwoVersionChanges(const std::string &query)
    {
        query_simulation sim(8, 2, 30);
        sim.warmUp();
        // The host's cached reports still list only version 1 for every server.
        for (auto &[id, leaf] : sim.leaves)
            leaf.held = {{1, 2}, {1, 3}};
        // The replicas of two shards reply only after both replicas of another shard have refused.
        for (std::size_t slow : {3U, 5U})
            for (const auto &id : sim.current->services[0].partitionings[0].shards[slow].replicas)
                sim.leaves.at(id).latency = [](random_engine &) {
                    return std::chrono::milliseconds(25);
                };
        CPPUNIT_ASSERT(completeAnswerVersion(sim.search(query)) >= 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sim.counters["restarts_total"]);
    }

    /// Returns the version of the answer, which must be complete.
    static std::uint64_t completeAnswerVersion(const query_simulation::result &done)
    {
        const auto *answer = std::get_if<search_answer>(&done.outcome);
        CPPUNIT_ASSERT_MESSAGE("refused", answer != nullptr);
        CPPUNIT_ASSERT_MESSAGE("partial", answer->coverage.isComplete());
        return answer->at.version;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_restart_test);

} // namespace waxwing
