#include "distribution_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace waxwing {
namespace {

/// Injects outages, lost responses, stale reads, restarts, partitions and accepted changes for
/// 20 s.
void injectFaults(distribution_world &world)
{
    const auto count = static_cast<std::uint32_t>(world.hosts.size());
    world.lostAnswerPercent = 20;
    world.staleReadPercent = 30;
    world.net.lossPercent = 5;
    for (int i = 0; i < 10; ++i) {
        const std::size_t host = world.net.below(count);
        const std::size_t other = world.net.below(count);
        const std::string zonePeer = distribution_world::name((host + 3) % count);
        switch (world.net.below(6)) {
        case 0:
            world.platformDown = !world.platformDown;
            break;
        case 1:
            world.start(host);
            break;
        case 2:
            world.net.setCut(distribution_world::name(host), "platform", true);
            break;
        case 3:
            // Disconnects the zone of the host, which has two hosts.
            for (std::size_t each = 0; each < count; ++each) {
                if (each % 3 == host % 3)
                    continue;
                world.net.setCut(distribution_world::name(host), distribution_world::name(each),
                                 true);
                world.net.setCut(zonePeer, distribution_world::name(each), true);
            }
            break;
        case 4:
            world.net.setCut(distribution_world::name(host), distribution_world::name(other),
                             host != other);
            break;
        default:
            if (!world.platformDown)
                world.accept();
        }
        world.net.runFor(world.net.between(100, 4000));
    }
}

void heal(distribution_world &world)
{
    world.platformDown = false;
    world.lostAnswerPercent = 0;
    world.staleReadPercent = 0;
    world.net.lossPercent = 0;
    world.net.restoreLinks();
}

} // namespace

class distribution_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(distribution_schedule_test);
    CPPUNIT_TEST(agreesAndNeverReverts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against configurations that revert, and against hosts that miss an accepted change.
    /// All hosts are reachable again before the change whose agreement time is checked.
    void agreesAndNeverReverts()
    {
        constexpr std::uint64_t schedules = 1000;
        double slowest = 0;
        std::uint64_t slowestSeed = 0;
        int late = 0;
        std::uint64_t firstLate = 0;
        std::cout << fmt::format("\nseeds 1 to {}\n", schedules);
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            distribution_world world(seed, 6);
            world.net.runFor(std::chrono::seconds(5));
            const bool restores = world.net.chance(10);
            for (int round = 0; round < 2; ++round) {
                injectFaults(world);
                if (restores && round == 1)
                    world.restoreOldRevision();
                heal(world);
                world.accept();
                const time_point accepted = world.net.now();
                while (!world.revisionDiscarded && !world.allAgree()
                       && world.net.now() < accepted + std::chrono::seconds(40))
                    world.net.runFor(std::chrono::milliseconds(10));
                const double seconds =
                    std::chrono::duration<double>(world.net.now() - accepted).count();
                if (seconds > 5 && ++late == 1)
                    firstLate = seed;
                if (seconds > slowest)
                    slowestSeed = seed;
                slowest = std::max(slowest, seconds);
            }
            if (world.revisionDiscarded)
                world.net.runFor(std::chrono::seconds(20));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: a revision decreased", seed),
                                   world.decreases == 0);
        }
        std::cout << fmt::format("slowest agreement {:.2f} s at seed {}, {} over 5 s\n", slowest,
                                 slowestSeed, late);
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("seed {}: not agreed within 5 s; {} in total", firstLate, late), late == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(distribution_schedule_test);

} // namespace waxwing
