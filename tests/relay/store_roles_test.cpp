#include "relay/store_roles.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace waxwing::relay {
namespace {

class store_roles_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_roles_test);
    CPPUNIT_TEST(hostWithTheFastestLinkOfAZoneReadsTheStore);
    CPPUNIT_TEST(hostsOfAnEarlierVersionReadOnlyWithoutOthers);
    CPPUNIT_TEST(smallFleetReadsTheStoreDirectly);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers' requests that wait behind large documents on a slow link.
    void hostWithTheFastestLinkOfAZoneReadsTheStore()
    {
        for (const std::string zone : {"a", "b"}) {
            for (std::uint32_t host = 0; host < 10; ++host)
                add(zone, host, host == 7 ? 140 : 14);
        }
        CPPUNIT_ASSERT(readers() == (std::vector<std::string>{"a7", "b7"}));
        // The next reader after a loss is one of the others, the same for all.
        std::erase_if(m_members, [](const member &each) { return each.host.value == "a7"; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
    }

    /// Guards against a fleet without readers while hosts of two versions run.
    void hostsOfAnEarlierVersionReadOnlyWithoutOthers()
    {
        for (std::uint32_t host = 0; host < 10; ++host) {
            add("a", host, host < 5 ? 0 : 14);
            add("b", host, 0);
        }
        const auto found = readers();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        CPPUNIT_ASSERT(found[0] >= "a5" && found[0] <= "a9");
    }

    void smallFleetReadsTheStoreDirectly()
    {
        for (std::uint32_t host = 0; host < 6; ++host)
            add("a", host, 14);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, readers().size());
    }

private:
    void add(const std::string &zone, std::uint32_t host, std::uint32_t linkMbps)
    {
        member added;
        added.host = {zone + std::to_string(host)};
        added.zone = {zone};
        added.peer = {"10.0.0." + std::to_string(host), 1};
        added.linkMbps = linkMbps;
        m_members.push_back(added);
    }
    /// Hosts that read the store, in the order of their names.
    std::vector<std::string> readers() const
    {
        std::vector<std::string> result;
        for (const member &each : m_members) {
            if (chooseStoreRole({}, each, m_members, {}).readsStore)
                result.push_back(each.host.value);
        }
        std::sort(result.begin(), result.end());
        return result;
    }

    std::vector<member> m_members;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_roles_test);

} // namespace
} // namespace waxwing::relay
