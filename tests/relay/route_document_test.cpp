#include "relay/route_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace waxwing::relay {
namespace {

route routeOf(std::string name, std::string hostName, std::string prefix)
{
    route result;
    result.name = std::move(name);
    result.hostName = std::move(hostName);
    result.prefix = std::move(prefix);
    result.targets = {{{"service"}, 1}};
    return result;
}

class route_document_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_document_test);
    CPPUNIT_TEST(findsRouteWithLongestMatchingPrefix);
    CPPUNIT_TEST(rejectsInvalidRoutesAndNamesThem);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against sending a request to the service of a different route.
    void findsRouteWithLongestMatchingPrefix()
    {
        const auto created = route_document::create(
            3,
            {routeOf("a", "One.example", "/a/"), routeOf("ab", "one.example", "/a/b/"),
             routeOf("other", "two.example", "/a/b/c/"), routeOf("root", "root.example", "/")},
            {}, {});
        CPPUNIT_ASSERT(created.ok());
        const auto nameOf = [&created](std::string_view hostName, std::string_view path) {
            const route *found = created->find(hostName, path);
            return found == nullptr ? std::string() : found->name;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("a"), nameOf("one.example", "/a/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), nameOf("ONE.example:8080", "/a/"));
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), nameOf("one.example", "/a/b/c/d?x=/a/b/c/"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), nameOf("one.example", "/a/bb/c"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), nameOf("root.example", "/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), nameOf("root.example", "/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("one.example", "/a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("one.example", "/?/a/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("one.example", ""));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("", "/a/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("three.example", "/a/"));
    }

    /// Guards against applying a document that contains an invalid route.
    void rejectsInvalidRoutesAndNamesThem()
    {
        const std::vector<std::function<void(route &)>> invalidations{
            [](route &each) { each.prefix = "a/"; },
            [](route &each) { each.prefix = "/a"; },
            [](route &each) { each.hostName.clear(); },
            [](route &each) { each.callerTimeout = std::chrono::milliseconds(0); },
            [](route &each) { each.latencyTarget = std::chrono::milliseconds(-1); },
            [](route &each) { each.attempts = 0; },
            [](route &each) { each.targets.clear(); },
            [](route &each) { each.targets[0].weight = -1; },
            [](route &each) { each.targets[0].weight = 0; },
            [](route &each) { each.shards = {{"s"}}; },
            [](route &each) {
                each.targets.clear();
                each.shards = {{"s"}, {"s"}};
                each.semantics = execution_semantics::Idempotent;
            },
            [](route &each) {
                each.targets.clear();
                each.shards = {{"s"}};
                each.semantics = execution_semantics::AtMostOnce;
            },
            [](route &each) {
                each.targets.clear();
                each.shards = {{"s"}};
                each.semantics = execution_semantics::Idempotent;
                each.minCoverage = 1.5;
            },
        };
        for (const auto &invalidate : invalidations) {
            route invalid = routeOf("wrong-route", "h", "/a/");
            invalidate(invalid);
            const auto created = route_document::create(1, {invalid}, {}, {});
            CPPUNIT_ASSERT(absl::IsInvalidArgument(created.status()));
            CPPUNIT_ASSERT(std::string(created.status().message()).find("wrong-route")
                           != std::string::npos);
        }
        CPPUNIT_ASSERT(
            !route_document::create(1, {routeOf("a", "h", "/a/"), routeOf("b", "H", "/a/")}, {}, {})
                 .ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_document_test);

} // namespace
} // namespace waxwing::relay
