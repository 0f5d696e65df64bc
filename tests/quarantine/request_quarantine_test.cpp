#include "query/query_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace waxwing {
namespace {

using namespace std::chrono_literals;

const refusal *refusalOf(const query_simulation::result &result)
{
    return std::get_if<refusal>(&result.outcome);
}

bool isListed(const query_simulation &sim, std::size_t host, const std::string &query)
{
    return sim.hosts[host]
        ->quarantine.listedFor(requestFingerprint({"desk"}, query), sim.now)
        .has_value();
}

} // namespace

class request_quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_quarantine_test);
    CPPUNIT_TEST(repeatedPoisonRequestCausesAtMostThreeCrashes);
    CPPUNIT_TEST(simultaneousPoisonRequestsCauseAtMostThreeCrashes);
    CPPUNIT_TEST(poisonUnderTrafficIsBoundedAndOtherRequestsAreNotListed);
    CPPUNIT_TEST(listedRequestIsRefusedUntilItExpires);
    CPPUNIT_TEST(lossOfAZoneListsNoRequests);
    CPPUNIT_TEST(crashReportedByTwoHostsIsCountedOnce);
    CPPUNIT_TEST(singleLossIsNotPublishedIfTwoAreRequired);
    CPPUNIT_TEST(crashIsReportedOnceItsRequestEndsUnanswered);
    CPPUNIT_TEST(reportsOfOneStartAreCountedOnce);
    CPPUNIT_TEST(reportsDoNotAddToPublishedCounts);
    CPPUNIT_TEST(canaryWaveAddsLessThan8Milliseconds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a caller that crashes all servers of a service by repeating one request.
    void repeatedPoisonRequestCausesAtMostThreeCrashes()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            query_simulation sim(8, 2, seed, 7);
            sim.warmUp(5);
            sim.crashingQuery = "poison";
            for (int i = 0; i < 20; ++i) {
                const auto result = sim.search("poison", static_cast<std::size_t>(i % 7));
                CPPUNIT_ASSERT(refusalOf(result) != nullptr);
                CPPUNIT_ASSERT(refusalOf(result)->retryAfter >= 1s);
                CPPUNIT_ASSERT_MESSAGE("a refusal is sent immediately", result.latency < 200ms);
                sim.runFor(std::chrono::milliseconds(seed * 10));
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": "
                                       + std::to_string(sim.totalCrashes()) + " crashes",
                                   sim.totalCrashes() <= 3);
        }
    }

    /// Guards against copies of one request that each crash a server because they were sent through
    /// several hosts before the hosts exchanged their crash counts.
    void simultaneousPoisonRequestsCauseAtMostThreeCrashes()
    {
        int most = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            query_simulation sim(8, 2, seed, 7);
            sim.warmUp(5);
            sim.crashingQuery = "poison-" + std::to_string(seed);
            sim.crashDelay = seed % 3 == 0 ? 150ms : 3ms;
            random_engine random(seed);
            for (int i = 0; i < 20; ++i) {
                sim.start(sim.crashingQuery, random(7));
                sim.runFor(std::chrono::microseconds(random(seed % 2 == 0 ? 100 : 4000)));
            }
            sim.runFor(2s);
            most = std::max(most, sim.totalCrashes());
        }
        std::cout << " at most " << most << " crashes in 50 seeds ";
        CPPUNIT_ASSERT(most <= 3);
    }

    /// Guards against refusing requests that only ran on the same servers as a poison request.
    void poisonUnderTrafficIsBoundedAndOtherRequestsAreNotListed()
    {
        int most = 0;
        int refused = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            query_simulation sim(8, 2, seed, 3);
            sim.warmUp(50);
            sim.crashingQuery = "poison-" + std::to_string(seed);
            random_engine random(seed);
            std::vector<std::string> bystanders;
            for (int i = 0; i < 300; ++i) {
                bystanders.push_back("fresh-" + std::to_string(i));
                sim.start(bystanders.back(), random(3));
                if (i >= 100 && i < 120)
                    sim.start(sim.crashingQuery, random(3));
                sim.runFor(std::chrono::microseconds(random(4000)));
            }
            sim.runFor(2s);
            most = std::max(most, sim.totalCrashes());
            for (const auto &query : bystanders)
                for (std::size_t host = 0; host < 3; ++host)
                    refused += isListed(sim, host, query) ? 1 : 0;
        }
        std::cout << " at most " << most << " crashes, bystanders listed " << refused << " ";
        CPPUNIT_ASSERT(most <= 3);
        CPPUNIT_ASSERT_EQUAL(0, refused);
    }

    /// Guards against refused requests that are delayed or sent to servers, and against entries
    /// that never expire.
    void listedRequestIsRefusedUntilItExpires()
    {
        query_simulation sim(8, 2, 1, 2);
        sim.warmUp(5);
        sim.crashingQuery = "poison";
        sim.search("poison", 0);
        sim.search("poison", 1);
        sim.runFor(100ms);
        const auto sent = sim.sent;
        const auto result = sim.search("poison", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined"), refusalOf(result)->code);
        CPPUNIT_ASSERT(refusalOf(result)->execution == execution_state::NotRun);
        CPPUNIT_ASSERT(refusalOf(result)->retryAfter > 290s);
        CPPUNIT_ASSERT_EQUAL(0LL, static_cast<long long>(result.latency.count()));
        CPPUNIT_ASSERT_EQUAL(sent, sim.sent);
        sim.crashingQuery.clear();
        sim.runFor(301s);
        CPPUNIT_ASSERT(refusalOf(sim.search("poison", 1)) == nullptr);
    }

    /// Guards against hosts that refuse the requests in progress during the outage of a zone.
    void lossOfAZoneListsNoRequests()
    {
        int listed = 0;
        int lost = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            query_simulation sim(8, 2, seed, 2);
            sim.warmUp(50);
            random_engine random(seed);
            std::vector<std::uint64_t> ids;
            for (int i = 0; i < 200; ++i) {
                if (i == 100)
                    for (int s = 0; s < 8; ++s)
                        sim.after(std::chrono::microseconds(random(20000)), [&sim, s] {
                            sim.crash({"leaf-10" + std::to_string(s) + "-0"}, 1h);
                        });
                ids.push_back(sim.start("fresh-" + std::to_string(i), random(2)));
                sim.runFor(std::chrono::microseconds(random(3000)));
            }
            sim.runFor(2s);
            for (int i = 0; i < 200; ++i)
                for (std::size_t host = 0; host < 2; ++host)
                    listed += isListed(sim, host, "fresh-" + std::to_string(i)) ? 1 : 0;
            for (const auto id : ids) {
                const auto *answer = std::get_if<search_answer>(&sim.results.at(id).outcome);
                lost += answer == nullptr || !answer->coverage.isComplete() ? 1 : 0;
            }
        }
        std::cout << " listed " << listed << ", not whole " << lost << " of 4000 ";
        CPPUNIT_ASSERT_EQUAL(0, listed);
        CPPUNIT_ASSERT_EQUAL(0, lost);
    }

    /// Guards against listing a request after a single crash that two hosts reported.
    void crashReportedByTwoHostsIsCountedOnce()
    {
        request_quarantine quarantine({});
        const time_point now{1h};
        const auto fingerprint = requestFingerprint({"desk"}, "q");
        quarantine.onConnectionLost({"desk"}, fingerprint, {{"a"}}, now - 5ms, now);
        const auto seen = quarantine.takeObservations();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen.size());
        const fact other{fact_kind::RequestQuarantined, seen[0].subject, {"other"}, 1, 1, 300s};
        quarantine.onFact(other, now + 1ms);
        quarantine.onConnectionLost({"desk"}, fingerprint, {{"b"}}, now - 2ms, now + 2ms);
        CPPUNIT_ASSERT(!quarantine.listedFor(fingerprint, now + 3ms).has_value());
        quarantine.onConnectionLost({"desk"}, fingerprint, {{"c"}}, now + 3ms, now + 6ms);
        CPPUNIT_ASSERT(quarantine.listedFor(fingerprint, now + 7ms).has_value());
    }

    /// Guards against a fleet whose hosts spend most of their time on facts about single lost
    /// answers, which are followed by the answer to a retry.
    void singleLossIsNotPublishedIfTwoAreRequired()
    {
        request_quarantine quarantine({.crashesToList = 3, .crashesToPublish = 2});
        const time_point now{1h};
        const auto lost = requestFingerprint({"desk"}, "lost answer");
        quarantine.onConnectionLost({"desk"}, lost, {{"a"}}, now - 5ms, now);
        quarantine.onAnswer(lost, now + 5ms);
        CPPUNIT_ASSERT(quarantine.takeObservations().empty());
        const auto harmful = requestFingerprint({"desk"}, "harmful");
        quarantine.onConnectionLost({"desk"}, harmful, {{"a"}}, now + 10ms, now + 15ms);
        quarantine.onConnectionLost({"desk"}, harmful, {{"b"}}, now + 20ms, now + 25ms);
        const auto published = quarantine.takeObservations();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, published[0].crashes);
    }

    /// Guards against a crash that no other host ever hears of, and against reports of lost answers
    /// that were followed by the answer to a retry.
    void crashIsReportedOnceItsRequestEndsUnanswered()
    {
        request_quarantine quarantine({.crashesToList = 3, .crashesToPublish = 2});
        const time_point now{1h};
        quarantine.onConnectionLost({"desk"}, 1, {{"a"}, 10}, now - 5ms, now);
        quarantine.onAnswer(1, now + 5ms);
        quarantine.onUnanswered(1);
        CPPUNIT_ASSERT(quarantine.takeReports().empty());
        quarantine.onConnectionLost({"desk"}, 2, {{"a"}, 10}, now - 5ms, now);
        CPPUNIT_ASSERT(quarantine.takeReports().empty());
        quarantine.onUnanswered(2);
        quarantine.onUnanswered(2);
        const auto reports = quarantine.takeReports();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        CPPUNIT_ASSERT((reports[0] == crash_report{2, 10}));
    }

    /// Guards against requests that are refused because several hosts saw the same crash.
    void reportsOfOneStartAreCountedOnce()
    {
        request_quarantine quarantine({.crashesToList = 3, .crashesToPublish = 2});
        const time_point now{1h};
        for (int i = 0; i < 5; ++i)
            quarantine.onReport({1, 10}, now + i * 1ms);
        quarantine.onConnectionLost({"desk"}, 1, {{"a"}, 10}, now, now + 6ms);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, quarantine.crashes(1, now + 7ms));
        quarantine.onReport({1, 11}, now + 8ms);
        const auto published = quarantine.takeObservations();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, published.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, published[0].crashes);
        // A report that another collector has counted and published before.
        quarantine.onFact({fact_kind::RequestQuarantined, "0000000000000001", {"b"}, 1, 2, 300s},
                          now + 9ms);
        quarantine.onReport({1, 11}, now + 10ms);
        CPPUNIT_ASSERT(!quarantine.listedFor(1, now + 11ms).has_value());
        quarantine.onReport({1, 12}, now + 100ms);
        CPPUNIT_ASSERT(quarantine.listedFor(1, now + 101ms).has_value());
    }

    /// Guards against requests that are refused after two crashes, because a collector adds a
    /// report to a count of another collector that contains it.
    void reportsDoNotAddToPublishedCounts()
    {
        request_quarantine quarantine({.crashesToList = 3, .crashesToPublish = 2});
        const time_point now{1h};
        quarantine.onReport({1, 10}, now);
        quarantine.onFact({fact_kind::RequestQuarantined, "0000000000000001", {"b"}, 1, 2, 300s},
                          now + 1ms);
        quarantine.onReport({1, 11}, now + 2ms);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, quarantine.crashes(1, now + 3ms));
    }

    /// Guards against a canary wave that takes longer than one typical leaf latency; prints the
    /// latencies of known and new requests.
    void canaryWaveAddsLessThan8Milliseconds()
    {
        query_simulation sim(130, 2, 1);
        sim.warmUp(100);
        // One reply in 100 takes ten times as long.
        for (auto &[id, leaf] : sim.leaves)
            leaf.latency = [](random_engine &random) {
                const auto usual = std::chrono::microseconds(4000 + random(2000));
                return random(100) == 0 ? usual * 10 : usual;
            };
        std::vector<duration> known;
        std::vector<duration> fresh;
        for (int i = 0; i < 1000; ++i) {
            known.push_back(sim.search("warm-" + std::to_string(i % 100)).latency);
            fresh.push_back(sim.search("fresh-" + std::to_string(i)).latency);
        }
        for (auto *list : {&known, &fresh}) {
            std::sort(list->begin(), list->end());
            std::cout << (list == &known ? " known" : " fresh") << " p50 " << (*list)[500] / 1us
                      << " us p99 " << (*list)[990] / 1us << " us";
        }
        CPPUNIT_ASSERT(fresh[500] - known[500] < 8ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_quarantine_test);

} // namespace waxwing
