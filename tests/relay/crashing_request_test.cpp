#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

/// Time from the third crash to the time from which further tries at servers count.
constexpr auto noticeTime = 6s;
/// Number of further tries that may reach servers after that.
constexpr std::size_t allowedTries = 3;

/// Number of tries that reached servers and were sent later than `noticeTime` after the third
/// server had crashed.
std::size_t lateTries(const relay_simulation &simulation)
{
    if (simulation.crashed.size() < 3)
        return 0;
    const time_point from = simulation.crashed[2].at + noticeTime;
    std::set<std::string> tries;
    for (const simulated_crash &each : simulation.crashed) {
        const auto sent =
            std::find_if(simulation.requests.begin(), simulation.requests.end(),
                         [&](const auto &request) { return request.callerId == each.callerId; });
        CPPUNIT_ASSERT(sent != simulation.requests.end());
        if (sent->sent > from)
            tries.insert(each.callerId);
    }
    return tries.size();
}

void checkLateTries(const relay_simulation &simulation)
{
    const std::size_t late = lateTries(simulation);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " late tries reached servers, "
                               + std::to_string(simulation.crashed.size()) + " servers crashed",
                           late <= allowedTries);
}

bool isCrashing(const relay_request &request)
{
    return request.target.ends_with("/crash");
}

/// Fleet, and the pace at which a request that crashes servers comes again.
struct fleet
{
    std::size_t hosts;
    std::chrono::milliseconds interval;
    std::uint64_t seed;

    simulation_layout layout() const
    {
        simulation_layout result;
        result.hosts = hosts;
        result.seed = seed;
        return result;
    }
};

constexpr std::array<fleet, 5> fleets{
    {{40, 2s, 1}, {40, 4s, 2}, {12, 700ms, 3}, {24, 6s, 4}, {76, 3s, 5}}};

/// Sends a request that crashes servers every `interval` from 4 s on. `hostOf` returns the host
/// that receives each try.
template<typename Choose>
void repeatCrashing(relay_simulation &simulation, const std::string &target, int tries,
                    std::chrono::milliseconds interval, Choose hostOf)
{
    simulation.crashesServers = isCrashing;
    for (int i = 0; i < tries; ++i)
        simulation.at(4s + i * interval,
                      [&simulation, target, host = hostOf(i)] { simulation.send(host, target); });
}

/// The same until 64 s, at hosts that differ each time.
void repeatCrashing(relay_simulation &simulation, const std::string &target, const fleet &sender)
{
    repeatCrashing(simulation, target, static_cast<int>(60s / sender.interval), sender.interval,
                   [&sender](int i) { return 7 * static_cast<std::size_t>(i) % sender.hosts; });
}

/// A request that crashes each server that runs it comes again at any host, with the same path,
/// caller and body.
class crashing_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_request_test);
    CPPUNIT_TEST(crashesSeenByDifferentHostsAreAddedUp);
    CPPUNIT_TEST(crashingFanOutsSeenByDifferentHostsAreAddedUp);
    CPPUNIT_TEST(otherCallersOfThePathNeitherClearItNorAreRefused);
    CPPUNIT_TEST(crashesOnNewConnectionsAreCounted);
    CPPUNIT_TEST(serversAtTheirConnectionLimitListNoRequest);
    CPPUNIT_TEST(hostsThatStartLaterRefuseIt);
    CPPUNIT_TEST(crashesBesideOtherLossesAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a large fleet in which each host sees one crash, which is never told to the
    /// others.
    void crashesSeenByDifferentHostsAreAddedUp()
    {
        for (const fleet &each : fleets) {
            simulation_layout layout = each.layout();
            layout.singleRepeats = execution_semantics::AtMostOnce;
            relay_simulation simulation(layout);
            simulation.load("/one/", 3s, 70s, 50ms);
            repeatCrashing(simulation, "/one/crash", each);
            simulation.runUntil(72s);
            checkLateTries(simulation);
        }
    }

    /// Guards against the same for a request to all shards, which one of several hosts carries out.
    void crashingFanOutsSeenByDifferentHostsAreAddedUp()
    {
        for (const fleet &each : fleets) {
            relay_simulation simulation(each.layout());
            simulation.load("/all/", 3s, 70s, 50ms);
            repeatCrashing(simulation, "/all/crash", each);
            simulation.runUntil(72s);
            checkLateTries(simulation);
        }
    }

    /// Guards against answers to other callers that clear the request of one caller, and against
    /// refusals of those callers.
    void otherCallersOfThePathNeitherClearItNorAreRefused()
    {
        relay_simulation simulation({});
        simulation.crashesServers = [](const relay_request &request) {
            return request.apiKey == "deadly";
        };
        for (auto at = 3000ms; at < 40s; at += 50ms)
            simulation.at(at, [&simulation, at] {
                simulation.apiKey = "caller-" + std::to_string(at.count() % 1000);
                simulation.send(static_cast<std::size_t>(at / 50ms) % 6, "/one/page");
            });
        for (auto at = 4020ms; at < 40s; at += 1000ms)
            simulation.at(at, [&simulation, at] {
                simulation.apiKey = "deadly";
                simulation.send(static_cast<std::size_t>(at / 1s) % 6, "/one/page");
            });
        simulation.runUntil(43s);
        checkLateTries(simulation);
        // The request of each other caller comes 37 times and is never the cause of a crash.
        CPPUNIT_ASSERT(simulation.counters["relay_requests_total_refused_quarantined"] <= 37);
    }

    /// Guards against a crash that is taken for a server at its connection limit, since the
    /// connection was opened for the request. The server is known to have ended only later.
    void crashesOnNewConnectionsAreCounted()
    {
        for (const auto downTime : {3000ms, 5000ms}) {
            relay_simulation simulation({});
            simulation.crashFailure = leaf_failure::NotAccepted;
            simulation.crashDownTime = downTime;
            simulation.load("/one/", 3s, 70s, 50ms);
            repeatCrashing(simulation, "/one/crash", 30, 2s, [](int i) { return i % 6; });
            simulation.runUntil(72s);
            checkLateTries(simulation);
        }
    }

    /// Guards against requests that are refused for minutes because servers had no room for further
    /// connections. No server ends.
    void serversAtTheirConnectionLimitListNoRequest()
    {
        relay_simulation simulation({});
        simulation.notAcceptedRate = 0.8;
        for (auto at = 3000ms; at < 30s; at += 200ms)
            simulation.at(at, [&simulation, at] {
                simulation.send(static_cast<std::size_t>(at / 200ms) % 6, "/one/page");
            });
        simulation.runUntil(33s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             simulation.counters["relay_requests_total_refused_quarantined"]);
    }

    /// Guards against hosts that start after the request was stopped, and send it to servers again.
    void hostsThatStartLaterRefuseIt()
    {
        simulation_layout layout;
        layout.hosts = 12;
        relay_simulation simulation(layout);
        simulation.load("/one/", 3s, 110s, 100ms);
        repeatCrashing(simulation, "/one/crash", 50, 2s, [](int i) { return i % 12; });
        // Each host is restarted 2 s before it gets the request again.
        for (int i = 10; i < 48; ++i)
            simulation.at(2s + i * 2s, [&simulation, i] {
                simulation.restart(static_cast<std::size_t>(i % 12));
            });
        simulation.runUntil(112s);
        checkLateTries(simulation);
    }

    /// Guards against two such requests at a time that are each taken for a victim of the other.
    /// Each is sent to all shards, from other hosts, and returns together with the other.
    void crashesBesideOtherLossesAreCounted()
    {
        relay_simulation simulation({});
        simulation.load("/all/", 3s, 70s, 50ms);
        simulation.load("/one/", 3s, 70s, 50ms);
        repeatCrashing(simulation, "/all/first/crash", 15, 4s, [](int i) { return i % 6; });
        repeatCrashing(simulation, "/all/second/crash", 15, 4s, [](int i) { return i % 6; });
        simulation.runUntil(72s);
        CPPUNIT_ASSERT(lateTries(simulation) <= 2 * allowedTries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_request_test);

} // namespace
} // namespace waxwing::relay
