#include "entry/admin_front.h"
#include "http/loop_fixture.h"

#include <nlohmann/json.hpp>

namespace waxwing {
class admin_front_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admin_front_test);
    CPPUNIT_TEST(showsStatusAndReadiness);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    metrics_registry m_metrics;
    host_status m_status;

    http::response get(const admin_front &front, const std::string &path)
    {
        http::client client(m_loop.base(), {});
        std::optional<http::client::outcome> result;
        client.send(front.localEndpoint(), {"GET", path, {}, {}, {}}, std::chrono::seconds(2),
                    [&](auto outcome) { result = std::move(outcome); });
        m_loop.runUntil([&] { return result.has_value(); });
        return std::get<http::response>(*result);
    }

public:
    /// Guards against a ready status of a host that cannot serve, which makes the load balancer
    /// send callers to it, and against a status page without the configuration revision of each
    /// host.
    void showsStatusAndReadiness()
    {
        m_metrics.count("hedges_total");
        m_status = {{"h1"}, {"z"}, false, 7, 0xabcULL << 52, {}};
        m_status.members = {{{"h2"}, {"z"}, {}, {}, 3, member_state::Leaving, 6}};
        const auto front = *admin_front::create(m_loop.base(), {"127.0.0.1", 0}, m_metrics,
                                                [this] { return m_status; });
        CPPUNIT_ASSERT_EQUAL(200, get(*front, "/healthz").status);
        CPPUNIT_ASSERT_EQUAL(503, get(*front, "/readyz").status);
        m_status.ready = true;
        CPPUNIT_ASSERT_EQUAL(200, get(*front, "/readyz").status);
        CPPUNIT_ASSERT_EQUAL(404, get(*front, "/v1/other").status);
        CPPUNIT_ASSERT(get(*front, "/metrics").body.find("waxwing_hedges_total 1")
                       != std::string::npos);
        const auto shown = nlohmann::json::parse(get(*front, "/v1/status").body);
        CPPUNIT_ASSERT_EQUAL(7, shown["configuration"]["revision"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("abc0000000000000"),
                             shown["configuration"]["digest"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"),
                             shown["members"][0]["state"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(6, shown["members"][0]["configuration_revision"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_front_test);

} // namespace waxwing
