#include "route_check/route_checks.h"

#include "example_routes.h"

#include <limits>

namespace waxwing::route_check {
namespace {

using enum document_section;
using std::chrono::milliseconds;
using field = document_field;

/// Guards against mistakes in routes that operators see only once callers are refused, and against
/// findings about documents that are as intended.
class route_checks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_checks_test);
    CPPUNIT_TEST(findsNothingInTheExample);
    CPPUNIT_TEST(findsUnknownServices);
    CPPUNIT_TEST(findsNamesThatAreUsedTwice);
    CPPUNIT_TEST(findsServicesWithoutRoute);
    CPPUNIT_TEST(findsDocumentsWithoutRoutes);
    CPPUNIT_TEST(findsRoutesShadowedByAnother);
    CPPUNIT_TEST(findsRoutesThatNothingMatches);
    CPPUNIT_TEST(findsTargetsWithoutWeight);
    CPPUNIT_TEST(findsOrganisationsWithoutKeys);
    CPPUNIT_TEST(findsKeysThatNoRequestCanContain);
    CPPUNIT_TEST(findsTimeoutsBelowTheTarget);
    CPPUNIT_TEST(findsTooManyRecords);
    CPPUNIT_TEST(findsContradictoryQuotas);
    CPPUNIT_TEST(findsColdRatesWithoutWarmUp);
    CPPUNIT_TEST(findsHeaderTimeoutsAboveTheIdleTimeout);
    CPPUNIT_TEST(findsAttemptsAboveTheNumberOfServers);
    CPPUNIT_TEST(countsServersInAllowedRegionsOnly);
    CPPUNIT_TEST(findsServicesWithoutServers);
    CPPUNIT_TEST(findsQuotasAboveTheCapacity);
    CPPUNIT_TEST(ordersFindingsBySeverity);
    CPPUNIT_TEST(everyKindIsListedOnceInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsNothingInTheExample()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        m_context.processingTime = milliseconds(10);
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        m_context = {};
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
    }

    void findsUnknownServices()
    {
        m_example.routes[0].shards.push_back({"s3"});
        assertOnly(found(), finding_code::UnknownService, {Routes, 0, field::Shards, 2});
        m_example = {};
        m_example.routes[1].targets.push_back({{"other"}, 0.5});
        assertOnly(found(), finding_code::UnknownService, {Routes, 1, field::Targets, 1});
    }

    void findsNamesThatAreUsedTwice()
    {
        m_example.routes[1].name = "all";
        assertOnly(found(), finding_code::DuplicateName, {Routes, 1, field::Name});
        m_example = {};
        m_example.services.push_back({{"s1"}, 30});
        assertOnly(found(), finding_code::DuplicateName, {Services, 3, field::Name});
    }

    void findsServicesWithoutRoute()
    {
        m_example.services.push_back({{"old"}, 30});
        assertOnly(found(), finding_code::ServiceWithoutRoute, {Services, 3});
        // A target without weight is a use: it is reported as such.
        m_example.routes[1].targets.push_back({{"old"}, 0});
        assertOnly(found(), finding_code::ZeroWeight, {Routes, 1, field::Targets, 1});
    }

    void findsDocumentsWithoutRoutes()
    {
        m_example.routes.clear();
        m_example.services.clear();
        assertOnly(found(), finding_code::NoRoutes, {Routes});
    }

    /// Hosts cut paths at a query, so that such a prefix belongs to another route.
    void findsRoutesShadowedByAnother()
    {
        relay::route shadowed = example_routes::single();
        shadowed.name = "one-new";
        shadowed.prefix = "/one/?v=2/";
        m_example.routes.push_back(shadowed);
        assertOnly(found(), finding_code::ShadowedRoute, {Routes, 2, field::Prefix});
        // A longer prefix wins and shadows nothing.
        m_example.routes[2].prefix = "/one/v2/";
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
    }

    void findsRoutesThatNothingMatches()
    {
        m_example.routes[1].prefix = "/#one/";
        assertOnly(found(), finding_code::UnreachableRoute, {Routes, 1, field::Prefix});
        m_example.routes[1].prefix = "/one /";
        assertOnly(found(), finding_code::UnreachableRoute, {Routes, 1, field::Prefix});
        m_example = {};
        for (const char *name : {"a.example/x", "a example", "a.example\n", "user@a.example"}) {
            m_example.routes[1].hostName = name;
            assertOnly(found(), finding_code::UnreachableRoute, {Routes, 1, field::HostName});
        }
        for (const char *name : {"A.Example", "a.example:8080", "10.0.0.1", "b_c.example"}) {
            m_example.routes[1].hostName = name;
            CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        }
    }

    void findsTargetsWithoutWeight()
    {
        m_example.routes[1].targets.push_back({{"s1"}, 0});
        assertOnly(found(), finding_code::ZeroWeight, {Routes, 1, field::Targets, 1});
    }

    void findsOrganisationsWithoutKeys()
    {
        m_example.organisations[1].keys.clear();
        assertOnly(found(), finding_code::OrganisationWithoutKeys, {Organisations, 1, field::Keys});
    }

    /// Such a key is often the result of a line end that was pasted with it.
    void findsKeysThatNoRequestCanContain()
    {
        for (const char *key : {"key-d\n", " key-d", "key d", "key\td"}) {
            m_example.organisations[0].keys[1] = key;
            const auto findings = found();
            assertOnly(findings, finding_code::UnusableKey, {Organisations, 0, field::Keys, 1});
            CPPUNIT_ASSERT(findings[0].sentence.find(key) == std::string::npos);
        }
    }

    void findsTimeoutsBelowTheTarget()
    {
        m_example.routes[0].callerTimeout = milliseconds(399);
        assertOnly(found(), finding_code::TimeoutBelowTarget, {Routes, 0, field::CallerTimeout});
        m_example.routes[0].callerTimeout = milliseconds(400);
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
    }

    /// An answer of a server has at most 4 MiB unless settings say otherwise, which is 262,144
    /// records.
    void findsTooManyRecords()
    {
        m_example.routes[0].topRecords = 262144;
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        for (const std::size_t count :
             {std::size_t{262145}, std::numeric_limits<std::size_t>::max()}) {
            m_example.routes[0].topRecords = count;
            assertOnly(found(), finding_code::TooManyRecords, {Routes, 0, field::TopRecords});
        }
    }

    void findsContradictoryQuotas()
    {
        m_example.organisations[0].burst = 0.5;
        assertOnly(found(), finding_code::BurstBelowOne, {Organisations, 0, field::Burst});
        m_example.organisations[0].burst = 1;
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        m_example.organisations[0].ratePerSecond = 0;
        assertOnly(found(), finding_code::BurstWithoutRate, {Organisations, 0, field::Burst});
    }

    void findsColdRatesWithoutWarmUp()
    {
        m_example.services[1].coldRatePerSecond = 6;
        assertOnly(found(), finding_code::ColdRateWithoutWarmUp, {Services, 1, field::WarmUp});
        m_example.services[1].warmUp = milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
    }

    void findsHeaderTimeoutsAboveTheIdleTimeout()
    {
        m_example.limits.headerTimeout = milliseconds(60001);
        assertOnly(found(), finding_code::HeaderTimeoutAboveIdleTimeout,
                   {Limits, std::nullopt, field::HeaderTimeout});
    }

    void findsAttemptsAboveTheNumberOfServers()
    {
        m_example.routes[0].attempts = 4;
        assertOnly(found(), finding_code::AttemptsAboveServers, {Routes, 0, field::Attempts});
        m_context.servers.reset();
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        m_context = exampleContext();
        m_example.routes[0].attempts = 3;
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        // A server that is about to stop receives no requests.
        m_context.servers->front().leaving = true;
        assertOnly(found(), finding_code::AttemptsAboveServers, {Routes, 0, field::Attempts});
    }

    void countsServersInAllowedRegionsOnly()
    {
        m_example.routes[1].allowedRegions = {"north"};
        m_example.routes[1].attempts = 3;
        assertOnly(found(), finding_code::AttemptsAboveServers, {Routes, 1, field::Attempts});
        m_context.regions.reset();
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
    }

    void findsServicesWithoutServers()
    {
        std::erase_if(*m_context.servers, [](const relay::registered_server &each) {
            return each.service == service_id{"s2"};
        });
        assertOnly(found(), finding_code::ServiceWithoutServers, {Services, 1});
    }

    /// 36 slots, of which the cheapest request occupies one: 720 requests a second with 50 ms each.
    void findsQuotasAboveTheCapacity()
    {
        m_context.processingTime = milliseconds(50);
        m_example.organisations[0].ratePerSecond = 720;
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        m_example.organisations[1].ratePerSecond = 1;
        m_example.organisations[1].burst = 1;
        assertOnly(found(), finding_code::QuotasAboveCapacity, {Organisations});
        // With fan-outs only, each request occupies a slot of each shard: 24 slots, 240 requests.
        m_example.routes.pop_back();
        m_example.services.pop_back();
        m_example.organisations.pop_back();
        m_example.organisations[0].ratePerSecond = 240;
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
        m_example.organisations[0].ratePerSecond = 241;
        assertOnly(found(), finding_code::QuotasAboveCapacity, {Organisations});
        m_context.processingTime.reset();
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(found()));
    }

    void ordersFindingsBySeverity()
    {
        m_example.services.push_back({{"old"}, 30});
        m_example.routes[0].callerTimeout = milliseconds(1);
        m_example.routes[1].targets[0].service = {"missing"};
        const auto findings = found();
        CPPUNIT_ASSERT(std::is_sorted(findings.begin(), findings.end(),
                                      [](const finding &left, const finding &right) {
                                          return left.severity() < right.severity();
                                      }));
        CPPUNIT_ASSERT(findings.front().severity() == finding_severity::Error);
        CPPUNIT_ASSERT(findings.back().severity() == finding_severity::Note);
    }

    /// Guards against a code whose name or severity is that of another one.
    void everyKindIsListedOnceInOrder()
    {
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < findingKinds.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(findingKinds[i].code));
            CPPUNIT_ASSERT(names.insert(findingKinds[i].name).second);
        }
    }

private:
    std::vector<finding> found() const { return checkRoutes(m_example.document(), m_context); }

    example_routes m_example;
    check_context m_context = exampleContext();
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_checks_test);

} // namespace
} // namespace waxwing::route_check
