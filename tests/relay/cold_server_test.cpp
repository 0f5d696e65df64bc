#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;
using fault_kind = simulated_leaf::fault_kind;

/// Largest number of requests that arrived at the server in one second from `from` until `to`.
std::size_t worstSecond(const simulated_leaf &server, time_point from, time_point to)
{
    std::size_t worst = 0;
    for (const time_point begin : server.arrivals) {
        if (begin >= from && begin + 1s <= to)
            worst = std::max(worst, arrivalsBetween(server, begin, begin + 1s));
    }
    return worst;
}

/// Tests relay hosts whose servers tolerate 10 requests a second from all hosts while they are
/// cold. The operators allow half as many again and five more in any second.
class cold_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_server_test);
    CPPUNIT_TEST(serverThatTurnsColdInUseGetsItsRate);
    CPPUNIT_TEST(manyHostsTogetherKeepTheRate);
    CPPUNIT_TEST(allHomesColdAtOnceRefuseAtOnce);
    CPPUNIT_TEST(restartedServerGetsItsRate);
    CPPUNIT_TEST(startingFleetKeepsTheRate);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against the full load on a server that turns cold, against searches that suffer from
    /// it although other servers are warm, and against a server that stays limited afterwards.
    void serverThatTurnsColdInUseGetsItsRate()
    {
        relay_simulation simulation(layoutOf(6));
        const time_point start = simulation.now();
        simulated_leaf &server = simulation.leafOf("shard-0", 0);
        simulation.at(6s, [&] { server.coldUntil = simulation.now() + 6s; });
        simulation.load("/all/", 2s, 16s, 5500us);
        simulation.runUntil(18s);
        check("turns cold, 6 hosts", worstSecond(server, start + 6200ms, start + 12s));
        CPPUNIT_ASSERT(arrivalsBetween(server, start + 7s, start + 12s) >= 20);
        CPPUNIT_ASSERT(arrivalsBetween(server, start + 13s, start + 16s) >= 120);
        CPPUNIT_ASSERT(servedWithin(simulation, 150) >= 0.99);
    }

    /// Guards against a sum over many hosts that is above the rate although each of them sends few
    /// requests. Each host learns of the state by its next request to the server.
    void manyHostsTogetherKeepTheRate()
    {
        relay_simulation simulation(layoutOf(90));
        const time_point start = simulation.now();
        simulated_leaf &server = simulation.leafOf("shard-0", 0);
        simulation.at(6s, [&] { server.coldUntil = simulation.now() + 10s; });
        simulation.load("/all/", 2s, 16s, 5500us);
        simulation.runUntil(18s);
        std::printf(
            "\nturns cold, 90 hosts: %zu in the worst second from 200 ms on, before all hosts "
            "know",
            worstSecond(server, start + 6200ms, start + 8s));
        check("turns cold, 90 hosts, after 1 s", worstSecond(server, start + 7s, start + 16s));
        CPPUNIT_ASSERT(servedWithin(simulation, 150) >= 0.99);
    }

    /// Guards against cold servers that are overrun, or requests that wait for nothing, when no
    /// warm server is left.
    void allHomesColdAtOnceRefuseAtOnce()
    {
        relay_simulation simulation(layoutOf(6));
        const time_point start = simulation.now();
        simulation.at(6s, [&] {
            for (std::size_t zone = 0; zone < 3; ++zone)
                simulation.leafOf("single", zone).coldUntil = simulation.now() + 6s;
        });
        simulation.load("/one/", 2s, 12s, 10ms);
        simulation.runUntil(16s);
        for (std::size_t zone = 0; zone < 3; ++zone) {
            const simulated_leaf &server = simulation.leafOf("single", zone);
            check("all cold", worstSecond(server, start + 6200ms, start + 12s));
            CPPUNIT_ASSERT(arrivalsBetween(server, start + 7s, start + 12s) >= 25);
        }
        for (const simulated_request &each : simulation.requests) {
            CPPUNIT_ASSERT(each.answered.has_value());
            const auto *refused = std::get_if<refusal>(&each.answer);
            if (refused == nullptr)
                continue;
            CPPUNIT_ASSERT_EQUAL(503, refused->status);
            CPPUNIT_ASSERT(refused->retryAfter > 0ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(each.latencyMs()), each.latencyMs() <= 110);
        }
    }

    /// Guards against hosts that send the usual load to a server which restarts, before its answers
    /// or its registration tell them that it is cold.
    void restartedServerGetsItsRate()
    {
        relay_simulation simulation(layoutOf(6));
        const time_point start = simulation.now();
        simulated_leaf &server = simulation.leafOf("shard-0", 0);
        simulation.at(6s, [&] { server.fault = fault_kind::Down; });
        simulation.at(8s, [&] {
            server.fault = fault_kind::None;
            server.entry.startedAt = 2;
            server.coldUntil = simulation.now() + 6s;
            simulation.registerServer(server.entry);
        });
        simulation.load("/all/", 2s, 16s, 5500us);
        simulation.runUntil(18s);
        check("restarted", worstSecond(server, start + 8s, start + 14s));
        CPPUNIT_ASSERT(servedWithin(simulation, 150) >= 0.99);
    }

    /// Guards against hosts that start together and take themselves for the only ones, so that each
    /// sends the rate of all to a cold server.
    void startingFleetKeepsTheRate()
    {
        for (const std::size_t hosts : {6, 12}) {
            relay_simulation simulation(layoutOf(hosts));
            const time_point start = simulation.now();
            for (std::size_t zone = 0; zone < 3; ++zone) {
                simulated_leaf &server = simulation.leafOf("single", zone);
                server.coldUntil = start + 20s;
                server.entry.startedAt = 2;
                server.entry.coldFor = 20s;
                simulation.registerServer(server.entry);
            }
            // The registrations have arrived by then.
            simulation.load("/one/", 300ms, 10s, 4ms);
            simulation.runUntil(12s);
            const auto served =
                std::count_if(simulation.requests.begin(), simulation.requests.end(),
                              [](const simulated_request &each) { return each.status() == 200; });
            std::printf("\nstarting fleet, %zu hosts: %td of %zu served", hosts, served,
                        simulation.requests.size());
            for (std::size_t zone = 0; zone < 3; ++zone) {
                const simulated_leaf &server = simulation.leafOf("single", zone);
                check("starting fleet", worstSecond(server, start, start + 10s));
                // Most of the rate is used once the hosts know each other.
                CPPUNIT_ASSERT(arrivalsBetween(server, start + 4s, start + 9s) >= 25);
            }
        }
    }

private:
    static simulation_layout layoutOf(std::size_t hosts)
    {
        simulation_layout layout;
        layout.hosts = hosts;
        layout.coldRatePerSecond = 10;
        layout.warmUp = 5s;
        return layout;
    }
    static void check(const std::string &what, std::size_t count)
    {
        std::printf("\n%s: %zu in the worst second", what.c_str(), count);
        CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(count), count <= 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_server_test);

} // namespace
} // namespace waxwing::relay
