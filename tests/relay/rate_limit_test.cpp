#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;
using fault_kind = simulated_leaf::fault_kind;

constexpr std::size_t zones = 3;
constexpr std::size_t shards = 10;
/// Time from the first statement of a limit until it has to be kept.
constexpr std::chrono::milliseconds noticeTime = 5s;
/// Window in which requests to a limited server are counted.
constexpr std::chrono::milliseconds window = 4s;

/// Names `perSecond` as the limit of the server from `from` until `to`.
void limitRate(relay_simulation &simulation, const std::string &service, std::size_t zone,
               double perSecond, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    simulation.at(from, [&simulation, service, zone, perSecond] {
        simulation.leafOf(service, zone).rateLimit = perSecond;
    });
    simulation.at(
        to, [&simulation, service, zone] { simulation.leafOf(service, zone).rateLimit.reset(); });
}

/// Asserts that the server receives at most one and a half times its limit and five more requests
/// in every window that begins from `from` and ends until `to`.
void checkRate(const simulated_leaf &server, double perSecond, time_point from, time_point to)
{
    const auto allowed = static_cast<std::size_t>(
        1.5 * perSecond * std::chrono::duration<double>(window).count() + 5);
    for (const time_point begin : server.arrivals) {
        if (begin < from || begin + window > to)
            continue;
        const std::size_t count = arrivalsBetween(server, begin, begin + window);
        CPPUNIT_ASSERT_MESSAGE(server.entry.id.value + " got " + std::to_string(count)
                                   + " requests, allowed " + std::to_string(allowed),
                               count <= allowed);
    }
}

/// Tests relay hosts while servers name a limit of requests a second from all hosts together.
class rate_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_limit_test);
    CPPUNIT_TEST(hostsTogetherKeepTheLimitOfAServer);
    CPPUNIT_TEST(manyHostsTogetherKeepASmallLimit);
    CPPUNIT_TEST(unusedSharesDoNotAddUpToABurst);
    CPPUNIT_TEST(fanOutsBeyondTheLimitsAreRefusedAtOnce);
    CPPUNIT_TEST(requestsOfALimitedServiceWaitForTheirTurn);
    CPPUNIT_TEST(malformedLimitKeepsTheOneBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a limit that no host, or each host by itself, keeps, against searches that
    /// suffer from it although the third server of the shard has room, and against a server that
    /// stays unused after it withdrew its limit.
    void hostsTogetherKeepTheLimitOfAServer()
    {
        relay_simulation simulation({});
        const time_point start = simulation.now();
        for (std::size_t zone = 0; zone < 2; ++zone)
            limitRate(simulation, "shard-0", zone, 30, 4s, 16s);
        simulation.load("/all/", 2s, 22s, 5500us);
        simulation.runUntil(24s);
        for (std::size_t zone = 0; zone < 2; ++zone) {
            const simulated_leaf &server = simulation.leafOf("shard-0", zone);
            checkRate(server, 30, start + 4s + noticeTime, start + 16s);
            // The server still gets what it accepts, and its usual 60 a second afterwards.
            CPPUNIT_ASSERT(arrivalsBetween(server, start + 10s, start + 16s) >= 120);
            CPPUNIT_ASSERT(arrivalsBetween(server, start + 18s, start + 22s) >= 200);
        }
        CPPUNIT_ASSERT(servedWithin(simulation, 150) >= 0.99);
        CPPUNIT_ASSERT(coverage(simulation, shards) >= 0.99);
    }

    /// Guards against a sum over many hosts that is above the limit although each of them sends
    /// few requests. The share of a host is one request in eleven seconds.
    void manyHostsTogetherKeepASmallLimit()
    {
        simulation_layout layout;
        layout.hosts = 90;
        relay_simulation simulation(layout);
        const time_point start = simulation.now();
        for (std::size_t zone = 0; zone < 2; ++zone)
            limitRate(simulation, "shard-0", zone, 8, 4s, 24s);
        simulation.load("/all/", 2s, 24s, 5500us);
        simulation.runUntil(26s);
        for (std::size_t zone = 0; zone < 2; ++zone)
            checkRate(simulation.leafOf("shard-0", zone), 8, start + 4s + noticeTime, start + 24s);
        CPPUNIT_ASSERT(servedWithin(simulation, 150) >= 0.99);
    }

    /// Guards against hosts that save up their shares of a limit while they use other servers, and
    /// use them all at once when those fail.
    void unusedSharesDoNotAddUpToABurst()
    {
        simulation_layout layout;
        layout.hosts = 90;
        relay_simulation simulation(layout);
        const time_point start = simulation.now();
        limitRate(simulation, "shard-0", 0, 8, 4s, 24s);
        for (std::size_t zone = 1; zone < zones; ++zone) {
            simulation.at(12s, [&simulation, zone] {
                simulation.leafOf("shard-0", zone).fault = fault_kind::Down;
            });
        }
        simulation.load("/all/", 2s, 20s, 5500us);
        simulation.runUntil(22s);
        checkRate(simulation.leafOf("shard-0", 0), 8, start + 4s + noticeTime, start + 20s);
    }

    /// Guards against searches that wait although no server may take them, and against shares that
    /// are spent on parts of searches which fail. All servers accept half of the load.
    void fanOutsBeyondTheLimitsAreRefusedAtOnce()
    {
        relay_simulation simulation({});
        const time_point start = simulation.now();
        for (std::size_t shard = 0; shard < shards; ++shard) {
            for (std::size_t zone = 0; zone < zones; ++zone)
                limitRate(simulation, "shard-" + std::to_string(shard), zone, 30, 4s, 20s);
        }
        simulation.load("/all/", 2s, 20s, 5500us);
        simulation.runUntil(22s);
        for (const auto &[id, server] : simulation.leaves)
            checkRate(server, 30, start + 4s + noticeTime, start + 20s);
        std::size_t all = 0;
        std::size_t served = 0;
        for (const simulated_request &each : simulation.requests) {
            if (each.sent < start + 6s)
                continue;
            ++all;
            CPPUNIT_ASSERT(each.answered.has_value());
            if (each.status() == 200) {
                served += each.latencyMs() <= 150 ? 1 : 0;
                continue;
            }
            const auto *refused = std::get_if<refusal>(&each.answer);
            CPPUNIT_ASSERT(refused != nullptr && refused->status == 503);
            CPPUNIT_ASSERT(refused->retryAfter > 0ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(each.latencyMs()), each.latencyMs() <= 150.0 / 4);
        }
        // The servers accept 90 of 181 requests a second.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of " + std::to_string(all),
                               static_cast<double>(served) >= 0.45 * static_cast<double>(all));
    }

    /// Guards against requests that are refused, or wait until another event comes by, although the
    /// host has a turn within their longest wait of 100 ms.
    void requestsOfALimitedServiceWaitForTheirTurn()
    {
        simulation_layout layout;
        layout.hosts = 1;
        layout.slots = 16;
        layout.singleWork = 5ms;
        relay_simulation simulation(layout);
        for (std::size_t zone = 1; zone < zones; ++zone)
            simulation.unregister(simulation.leafOf("single", zone).entry.id);
        simulation.leafOf("single", 0).rateLimit = 12;
        simulation.at(3s, [&simulation] { simulation.send(0, "/one/first"); });
        // Eighteen turns are open after a pause of 1.5 s; the last request waits for up to 83 ms.
        for (auto at = 5000ms; at < 17s; at += 2000ms) {
            for (int i = 0; i < 19; ++i)
                simulation.at(at, [&simulation] { simulation.send(0, "/one/x"); });
        }
        simulation.runUntil(18s);
        CPPUNIT_ASSERT_EQUAL(1.0, servedWithin(simulation, 400));
    }

    /// Guards against a limit that ends because a later answer names one that cannot be read.
    void malformedLimitKeepsTheOneBefore()
    {
        relay_simulation simulation({});
        const time_point start = simulation.now();
        limitRate(simulation, "shard-0", 0, 30, 4s, 16s);
        simulation.at(
            6s, [&simulation] { simulation.leafOf("shard-0", 0).isRateLimitMalformed = true; });
        simulation.load("/all/", 2s, 16s, 5500us);
        simulation.runUntil(18s);
        checkRate(simulation.leafOf("shard-0", 0), 30, start + 4s + noticeTime, start + 16s);
        CPPUNIT_ASSERT(simulation.logLines["a backend server named a limit that cannot be read"]
                       > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_limit_test);

} // namespace
} // namespace waxwing::relay
