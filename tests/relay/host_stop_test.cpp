#include "relay/relay_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

/// A planned stop of a host: it is asked to stop and ends within its grace.
class host_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_stop_test);
    CPPUNIT_TEST(requestsThatArriveLateInTheGraceAreNotCutOff);
    CPPUNIT_TEST(requestsToServersThatHangAreAnsweredBeforeTheExit);
    CPPUNIT_TEST(requestsDuringTheNoticeAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that are taken so late that the exit of the host cuts them off,
    /// among them requests that may run once only. They arrive on open connections, or over slow
    /// links.
    void requestsThatArriveLateInTheGraceAreNotCutOff()
    {
        for (const auto semantics :
             {execution_semantics::Idempotent, execution_semantics::AtMostOnce}) {
            simulation_layout layout;
            layout.singleRepeats = semantics;
            layout.singleWork = 300ms;
            relay_simulation simulation(layout);
            simulation.at(4s, [&simulation] { simulation.stop(0); });
            for (auto at = 4000ms; at < 4s + exitTime; at += 40ms)
                simulation.at(at, [&simulation] {
                    simulation.send(0, "/one/late");
                    simulation.send(0, "/all/late");
                });
            simulation.runUntil(16s);
            checkAnswers(simulation);
        }
    }

    /// Guards against requests that are cut off without an answer because a server does not answer
    /// within the grace.
    void requestsToServersThatHangAreAnsweredBeforeTheExit()
    {
        simulation_layout layout;
        layout.singleRepeats = execution_semantics::AtMostOnce;
        relay_simulation simulation(layout);
        for (std::size_t zone = 0; zone < 3; ++zone)
            simulation.leafOf("single", zone).fault = simulated_leaf::fault_kind::Silent;
        simulation.callerTimeLeft = 9000ms;
        simulation.publish(simulation.document(2, 9s));
        for (auto at = 3500ms; at < 6s; at += 100ms)
            simulation.at(at, [&simulation] { simulation.send(0, "/one/hang"); });
        simulation.at(4s, [&simulation] { simulation.stop(0); });
        simulation.runUntil(16s);
        checkAnswers(simulation);
        // Their servers may have run them, and had all the time that there was.
        for (const simulated_request &each : simulation.requests)
            CPPUNIT_ASSERT(each.status() == 503 || *each.answered > simulation.start() + 9s);
    }

    /// Guards against refusals while the platform still sends callers to the host.
    void requestsDuringTheNoticeAreServed()
    {
        relay_simulation simulation({});
        simulation.at(4s, [&simulation] { simulation.stop(0); });
        for (auto at = 4000ms; at < 6400ms; at += 50ms)
            simulation.at(at, [&simulation] {
                simulation.send(0, "/one/a");
                simulation.send(0, "/all/a");
            });
        simulation.runUntil(10s);
        CPPUNIT_ASSERT_EQUAL(1.0, servedWithin(simulation, 400));
    }

private:
    /// Time from the request to stop to the exit at the latest.
    static constexpr std::chrono::milliseconds exitTime{5600};

    static void checkAnswers(const relay_simulation &simulation)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.exits.count(0));
        const time_point exit = simulation.exits.at(0);
        CPPUNIT_ASSERT(exit <= simulation.start() + 4s + exitTime);
        std::size_t cut = 0;
        for (const simulated_request &each : simulation.requests) {
            // Later ones find no process.
            if (each.sent < exit)
                cut += !each.answered.has_value() || *each.answered > exit ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("requests that were cut off", std::size_t{0}, cut);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_stop_test);

} // namespace
} // namespace waxwing::relay
