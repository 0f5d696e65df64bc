#include "command_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace waxwing {
namespace {

/// Number of requests in all schedules by outcome.
struct totals
{
    int done = 0;
    int replayed = 0;
    int notRun = 0;
    int unknown = 0;
    int unanswered = 0;
};

/// Sends each key up to six times, to any host, without waiting for answers.
void runSchedule(std::uint64_t seed, command_world &world)
{
    const std::vector<std::string> keys{"a", "b"};
    for (int round = 0; round < 6; ++round) {
        for (const std::string &key : keys)
            world.send(key, world.net.below(3));
        world.net.runFor(world.net.between(1, round < 3 ? 40 : 2500));
        const auto chosen = world.net.below(3);
        if (world.net.chance(world.faults.hostPaused))
            world.net.pause(world.cluster[chosen].host.value, world.net.between(100, 5000));
        if (world.net.chance(world.faults.hostReplaced))
            world.startHost(chosen);
    }
    world.net.runFor(std::chrono::minutes(10));
    for (const std::string &key : keys) {
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("seed {}: '{}' ran {} times", seed, key, world.executions(key)),
            world.executions(key) <= 1);
    }
}

void addOutcomes(std::uint64_t seed, const command_world &world, totals &sums)
{
    for (const auto &[id, each] : world.tries) {
        if (!each.outcome) {
            ++sums.unanswered;
            continue;
        }
        if (const auto *answer = std::get_if<command_answer>(&*each.outcome)) {
            ++(answer->replayed ? sums.replayed : sums.done);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: '{}' done but not run", seed, each.key),
                                   world.executions(each.key) == 1);
            continue;
        }
        const bool notRun = std::get<refusal>(*each.outcome).execution == execution_state::NotRun;
        ++(notRun ? sums.notRun : sums.unknown);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: try {} is 'not run' but ran", seed, id),
                               !notRun || each.executions == 0);
    }
}

} // namespace

class command_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_schedule_test);
    CPPUNIT_TEST(neverRunsTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against commands that run twice, and against "not run" for commands that ran, under
    /// outages, lost responses, delays, paused hosts and replaced hosts.
    void neverRunsTwice()
    {
        constexpr std::uint64_t schedules = 10000;
        totals sums;
        std::cout << fmt::format("\nseeds 1 to {}\n", schedules);
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            command_world world(seed, {10, 15, 10, 15, 20, 15});
            runSchedule(seed, world);
            addOutcomes(seed, world, sums);
        }
        std::cout << fmt::format("done {} replayed {} not-run {} unknown {} unanswered {}\n",
                                 sums.done, sums.replayed, sums.notRun, sums.unknown,
                                 sums.unanswered);
        // Schedules in which almost no command runs would not test the guarantee.
        CPPUNIT_ASSERT(sums.done > 5000 && sums.replayed > 5000 && sums.notRun > 5000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_schedule_test);

} // namespace waxwing
