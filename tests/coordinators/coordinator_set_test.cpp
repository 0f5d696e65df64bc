#include "coordinators/coordinator_set.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace waxwing {
namespace {

class coordinator_set_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_set_test);
    CPPUNIT_TEST(everyHostIsACoordinatorWhileConnectionsSuffice);
    CPPUNIT_TEST(fastestHostsOfEachRegionAreChosen);
    CPPUNIT_TEST(slowHostsReplaceLostFastOnes);
    CPPUNIT_TEST(hostsTogetherStayWithinConnectionsAndBudget);
    CPPUNIT_TEST(ownZoneIsPreferredThenItsRegion);
    CPPUNIT_TEST(faultyLinkRatesOfOneHostDoNotLeaveARegionWithoutSpare);
    CPPUNIT_TEST(nothingIsDelegatedWithoutFanOuts);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hops and dependencies between the hosts of small fleets, where every host has
    /// several connections to each server.
    void everyHostIsACoordinatorWhileConnectionsSuffice()
    {
        for (const auto &[hosts, limit] : std::map<std::size_t, std::uint32_t>{{6, 25}, {9, 31}}) {
            const std::vector<member> small(allHosts().begin(),
                                            allHosts().begin() + static_cast<long>(hosts));
            const auto chosen = coordinator_set::choose(m_settings, small, m_regions, limit);
            CPPUNIT_ASSERT(chosen.isEveryHost());
            CPPUNIT_ASSERT(chosen.contains(small.back().host));
        }
    }

    /// Guards against a weak host that collects the parts of other hosts' fan-outs.
    void fastestHostsOfEachRegionAreChosen()
    {
        const auto chosen = coordinator_set::choose(m_settings, allHosts(), m_regions, 69);
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), chosen.size());
        for (const member &each : allHosts())
            CPPUNIT_ASSERT_EQUAL(each.linkMbps == fastLink, chosen.contains(each.host));
    }

    /// Guards against two weak hosts that get the fan-outs of a whole region after its fast hosts
    /// are lost.
    void slowHostsReplaceLostFastOnes()
    {
        std::vector<member> left = allHosts();
        std::erase_if(left, [](const member &each) { return each.linkMbps == fastLink; });
        const auto chosen = coordinator_set::choose(m_settings, left, m_regions, 69);
        double rate = 0;
        double all = 0;
        for (const member &each : left) {
            all += each.linkMbps;
            rate += chosen.contains(each.host) ? each.linkMbps : 0;
        }
        CPPUNIT_ASSERT(!chosen.isEveryHost());
        CPPUNIT_ASSERT(rate >= m_settings.minLinkShare * all);
    }

    /// Guards against a fleet that together exceeds the connection limit of a server or the retry
    /// budget.
    void hostsTogetherStayWithinConnectionsAndBudget()
    {
        for (const std::uint32_t limit : {50U, 69U, 77U, 120U}) {
            const auto chosen = coordinator_set::choose(m_settings, allHosts(), m_regions, limit);
            double connections = 0;
            double budget = 0;
            for (const member &each : allHosts()) {
                const auto share =
                    coordinator_share::of(chosen, m_settings, each.host, allHosts().size(), limit);
                CPPUNIT_ASSERT(share.has_value());
                connections +=
                    chosen.contains(each.host) ? static_cast<double>(share->connections) : 0;
                budget += 1 / static_cast<double>(share->budgetHosts);
            }
            CPPUNIT_ASSERT(connections <= 0.65 * limit);
            CPPUNIT_ASSERT(budget <= 1);
        }
    }

    /// Guards against fan-outs that cross regions, and against a zone whose coordinators are lost.
    void ownZoneIsPreferredThenItsRegion()
    {
        const auto chosen = coordinator_set::choose(m_settings, allHosts(), m_regions, 69);
        random_engine random(1);
        const auto zoneOf = [&](const std::function<bool(const host_id &)> &isSkipped) {
            const auto picked = chosen.pick({"north-a"}, m_regions, isSkipped, random);
            return picked.has_value() ? picked->zone.value : std::string();
        };
        const auto isInZone = [](const host_id &host, const std::string &zone) {
            return host.value.rfind(zone, 0) == 0;
        };
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("north-a"),
                                 zoneOf([](const auto &) { return false; }));
            CPPUNIT_ASSERT_EQUAL(std::string("north-b"), zoneOf([&](const host_id &host) {
                                     return isInZone(host, "north-a");
                                 }));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             zoneOf([&](const host_id &host) { return isInZone(host, "north"); }));
    }

    /// Guards against a region whose fan-outs depend on one host because its link is far faster.
    void faultyLinkRatesOfOneHostDoNotLeaveARegionWithoutSpare()
    {
        std::vector<member> hosts = allHosts();
        hosts.front().linkMbps = 1000000;
        const auto chosen = coordinator_set::choose(m_settings, hosts, m_regions, 69);
        const auto count = std::count_if(hosts.begin(), hosts.end(), [&](const member &each) {
            return m_regions.at(each.zone) == "north" && chosen.contains(each.host);
        });
        CPPUNIT_ASSERT(count >= 2);
    }

    /// Guards against a hop for requests that go to a single server.
    void nothingIsDelegatedWithoutFanOuts()
    {
        CPPUNIT_ASSERT(
            coordinator_set::choose(m_settings, allHosts(), m_regions, std::nullopt).isEveryHost());
        m_settings.isEnabled = false;
        CPPUNIT_ASSERT(
            coordinator_set::choose(m_settings, allHosts(), m_regions, 69).isEveryHost());
    }

private:
    static constexpr std::uint32_t fastLink = 140;

    /// 74 hosts in six zones, two of each with a fast link.
    const std::vector<member> &allHosts()
    {
        if (!m_hosts.empty())
            return m_hosts;
        for (std::size_t i = 0; i < 74; ++i) {
            const auto zone = std::next(m_regions.begin(), static_cast<long>(i % 6))->first;
            member each;
            each.host = {zone.value + "-" + std::to_string(i)};
            each.zone = zone;
            each.linkMbps = i < 12 ? fastLink : 14;
            m_hosts.push_back(each);
        }
        return m_hosts;
    }

    coordinator_settings m_settings;
    std::map<zone_id, std::string> m_regions{{{"north-a"}, "north"}, {{"north-b"}, "north"},
                                             {{"mid-a"}, "mid"},     {{"mid-b"}, "mid"},
                                             {{"south-a"}, "south"}, {{"south-b"}, "south"}};
    std::vector<member> m_hosts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_set_test);

} // namespace
} // namespace waxwing
