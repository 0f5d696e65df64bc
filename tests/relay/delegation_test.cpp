#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

/// Tests fleets with more hosts than a server accepts connections: 48 hosts of which two in each
/// region have a fast link, and servers that accept 25 connections.
class delegation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(delegation_test);
    CPPUNIT_TEST(serversAreAskedByNoMoreHostsThanTheyAcceptConnections);
    CPPUNIT_TEST(lostCoordinatorsCostOnlyRequestsInProgress);
    CPPUNIT_TEST(fanOutsAreServedWithoutAnyCoordinator);
    CPPUNIT_TEST(coordinatorsThatStopLoseNoRequest);
    CPPUNIT_TEST(fanOutsOfCutOffCoordinatorsAreServed);
    CPPUNIT_TEST(disconnectedCallersEndDelegatedRequests);
    CPPUNIT_TEST(requestsTakenBackRunOnAsManyServersAsTheRouteAllows);
    CPPUNIT_TEST(hostsOfOlderFormAreNotAvoided);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hosts that open, lose and reopen connections because all of them ask every
    /// server. Servers pause in turn, as they do in service.
    void serversAreAskedByNoMoreHostsThanTheyAcceptConnections()
    {
        CPPUNIT_ASSERT(mostCallers(true) <= 25);
        // What the test guards against.
        CPPUNIT_ASSERT(mostCallers(false) > 25);
    }

    /// Guards against hosts that go on sending fan-outs to coordinators which are frozen or cut
    /// off, until the membership shows it. Two of six coordinators are lost at 4 s.
    void lostCoordinatorsCostOnlyRequestsInProgress()
    {
        relay_simulation simulation(layout());
        simulation.at(4s, [&] { simulation.stalledHosts = {0, 1}; });
        simulation.load("/all/", 2s, 12s, 10ms);
        simulation.runUntil(14s);
        CPPUNIT_ASSERT(servedBetween(simulation, 4s, 6s) >= 0.9);
        CPPUNIT_ASSERT(servedBetween(simulation, 6s, 12s) >= 0.97);
    }

    /// Guards against a fleet that serves no fan-out once its coordinators are gone.
    void fanOutsAreServedWithoutAnyCoordinator()
    {
        relay_simulation simulation(layout());
        simulation.at(4s, [&] { simulation.stalledHosts = fastHosts(); });
        simulation.load("/all/", 2s, 16s, 20ms);
        simulation.runUntil(18s);
        CPPUNIT_ASSERT(servedBetween(simulation, 8s, 16s) >= 0.95);
    }

    /// Guards against requests that are lost while coordinators are replaced one after the other.
    void coordinatorsThatStopLoseNoRequest()
    {
        relay_simulation simulation(layout());
        simulation.at(4s, [&] { simulation.stop(0); });
        simulation.at(7s, [&] { simulation.stop(1); });
        simulation.load("/all/", 2s, 14s, 10ms);
        simulation.runUntil(16s);
        // Callers no longer reach the hosts that have stopped.
        simulation.stalledHosts = {0, 1};
        CPPUNIT_ASSERT(servedBetween(simulation, 2s, 14s) >= 0.99);
    }

    /// Guards against fan-outs that fail because their coordinator reaches no server while the host
    /// that received them does.
    void fanOutsOfCutOffCoordinatorsAreServed()
    {
        relay_simulation simulation(layout());
        simulation.at(4s, [&] { simulation.hostsRefusedByServers = {0, 1, 2}; });
        simulation.load("/all/", 2s, 12s, 10ms);
        simulation.runUntil(14s);
        CPPUNIT_ASSERT(servedBetween(simulation, 5s, 12s) >= 0.97);
    }

    /// Guards against servers that work for callers who have left.
    void disconnectedCallersEndDelegatedRequests()
    {
        relay_simulation simulation(layout());
        simulation.runUntil(3s);
        for (auto &[id, server] : simulation.leaves)
            server.fault = simulated_leaf::fault_kind::Silent;
        const std::size_t request = simulation.send(40, "/all/1");
        simulation.runUntil(3020ms);
        simulation.disconnectCaller(request);
        simulation.runUntil(4s);
        CPPUNIT_ASSERT(simulation.counters["relay_requests_delegated_total"] >= 1);
        CPPUNIT_ASSERT(simulation.counters["relay_requests_total_caller_gone"] >= 2);
    }

    /// Guards against shards that are asked by a coordinator which wakes up late and by the host
    /// that took the request back, on more servers together than the route allows. Found on a
    /// deployment whose links were busy with a large document.
    void requestsTakenBackRunOnAsManyServersAsTheRouteAllows()
    {
        relay_simulation simulation(layout());
        for (int i = 0; i < 6; ++i) {
            simulation.at(4s + i * 500ms, [&simulation, i] {
                simulation.suspend(static_cast<std::size_t>(i), 120ms, false);
            });
        }
        simulation.load("/all/", 2s, 8s, 5ms);
        simulation.runUntil(10s);
        CPPUNIT_ASSERT(simulation.counters["relay_delegations_taken_back_total"] > 0);
        std::map<std::string, int> servers;
        for (const auto &[id, server] : simulation.leaves) {
            for (const auto &[caller, runs] : server.runs)
                ++servers[server.entry.service.value + ' ' + caller];
        }
        const auto most = std::max_element(
            servers.begin(), servers.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        CPPUNIT_ASSERT_EQUAL(2, most->second);
    }

    /// Guards against hosts of the build before, which do not acknowledge requests and would be
    /// asked and given up again and again while builds run side by side.
    void hostsOfOlderFormAreNotAvoided()
    {
        relay_simulation simulation(layout());
        simulation.acknowledgesForwards = false;
        simulation.load("/all/", 2s, 8s, 10ms);
        simulation.runUntil(10s);
        CPPUNIT_ASSERT(servedBetween(simulation, 2s, 8s) >= 0.99);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             simulation.counters["relay_delegations_taken_back_total"]);
    }

private:
    static simulation_layout layout()
    {
        simulation_layout result;
        result.hosts = 48;
        result.slots = 4;
        result.fastHosts = 6;
        return result;
    }

    static std::set<std::size_t> fastHosts() { return {0, 1, 2, 3, 4, 5}; }

    /// Largest number of hosts that asked a server of a shard.
    static std::size_t mostCallers(bool isDelegated)
    {
        simulation_layout parameters = layout();
        parameters.settings.coordinators.isEnabled = isDelegated;
        relay_simulation simulation(parameters);
        for (int i = 0; i < 30; ++i) {
            simulation.at(2s + i * 300ms, [&simulation, i] {
                simulation
                    .leafOf("shard-" + std::to_string(i % 10), static_cast<std::size_t>(i % 3))
                    .pausedUntil = simulation.now() + 200ms;
            });
        }
        simulation.load("/all/", 2s, 12s, 5ms);
        simulation.runUntil(14s);
        CPPUNIT_ASSERT(servedBetween(simulation, 2s, 12s) >= 0.97);
        std::size_t most = 0;
        for (const auto &[id, server] : simulation.leaves)
            most = std::max(most, server.callers.size());
        return most;
    }

    /// Share of the requests sent from `from` until before `to` to hosts that are not stalled that
    /// are answered within the latency goal.
    static double servedBetween(const relay_simulation &simulation, std::chrono::milliseconds from,
                                std::chrono::milliseconds to)
    {
        constexpr double goalMs = 150;
        double all = 0;
        double served = 0;
        for (const simulated_request &each : simulation.requests) {
            const duration sent = each.sent - simulation.start();
            if (simulation.stalledHosts.count(each.host) != 0 || sent < from || sent >= to)
                continue;
            ++all;
            served +=
                each.answered.has_value() && each.status() == 200 && each.latencyMs() <= goalMs ? 1
                                                                                                : 0;
        }
        return served / all;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(delegation_test);

} // namespace
} // namespace waxwing::relay
