#include "configuration/difference.h"
#include "configuration/example_document.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class difference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(difference_test);
    CPPUNIT_TEST(namesFieldsByIds);
    CPPUNIT_TEST(ignoresOrderAndAuthor);
    CPPUNIT_TEST(reportsWholeElements);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a preview that names the wrong service because positions shifted.
    void namesFieldsByIds()
    {
        auto document = smallDocument();
        document["backend_servers"][1]["leaves_at"] = "2027-05-01T00:00:00Z";
        document["services"][0]["policy"]["deadline_ms"] = 300;
        document["services"][0]["partitionings"][0]["shards"][0]["replicas"] = {"s1"};
        const auto found = compareConfigurations(parseValid(smallDocument()), parseValid(document));
        const std::vector<field_difference> expected{
            {"/backend_servers/s2/leaves_at", std::nullopt, "\"2027-05-01T00:00:00Z\""},
            {"/services/desk/partitionings/1/shards/p1/replicas", R"(["s1","s2"])", R"(["s1"])"},
            {"/services/desk/policy/deadline_ms", "200", "300"},
        };
        CPPUNIT_ASSERT(found == expected);
    }

    /// Guards against differences that no operator made.
    void ignoresOrderAndAuthor()
    {
        auto document = smallDocument();
        document["revision"] = 8;
        document["reason"] = "other";
        std::reverse(document["backend_servers"].begin(), document["backend_servers"].end());
        CPPUNIT_ASSERT(
            compareConfigurations(parseValid(smallDocument()), parseValid(document)).empty());
    }

    /// Guards against an added or removed service that is missing from the preview.
    void reportsWholeElements()
    {
        auto document = smallDocument();
        document["services"] = nlohmann::json::array();
        const auto before = parseValid(smallDocument());
        const auto after = parseValid(document);
        const auto removed = compareConfigurations(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/services/desk"), removed[0].field);
        CPPUNIT_ASSERT(removed[0].before.has_value() && !removed[0].after.has_value());
        const auto added = compareConfigurations(after, before);
        CPPUNIT_ASSERT(added.size() == 1 && added[0].after == removed[0].before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(difference_test);

} // namespace waxwing
