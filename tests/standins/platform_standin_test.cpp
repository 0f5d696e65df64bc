#include "standins/platform_standin.h"

#include "standins/standin_fixture.h"

namespace waxwing::standins {

class platform_standin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_standin_test);
    CPPUNIT_TEST(checksVersionsOnWrite);
    CPPUNIT_TEST(watchWaitsForNewerVersion);
    CPPUNIT_TEST(losesAnswersOfWritesThatTookEffect);
    CPPUNIT_TEST(failsDuringOutage);
    CPPUNIT_TEST(servesOldCopies);
    CPPUNIT_TEST(hostListLags);
    CPPUNIT_TEST(countsCallsByKind);
    CPPUNIT_TEST(rejectsUnknownFaults);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    manual_clock m_clock;
    std::unique_ptr<platform_standin> m_platform;
    std::unique_ptr<blocking_client> m_client;

    const std::string m_path = "/objects/configuration/current";

    endpoint at() const { return m_platform->localEndpoint(); }

    http::client::outcome put(const std::string &value, std::uint64_t version)
    {
        const std::pair<std::string, std::string> condition = version == 0
            ? std::pair<std::string, std::string>{"If-None-Match", "*"}
            : std::pair<std::string, std::string>{"If-Match", '"' + std::to_string(version) + '"'};
        return m_client->call(at(), {"PUT", m_path, {}, {condition}, value});
    }

    int putStatus(const std::string &value, std::uint64_t version)
    {
        return std::get<http::response>(put(value, version)).status;
    }

    void setFaults(const nlohmann::json &change) { m_client->postJson(at(), "/faults", change); }

public:
    void setUp() override
    {
        m_platform = platform_standin::create(m_loop.base(), m_clock, {}).value();
        m_client = std::make_unique<blocking_client>(m_loop);
    }
    void tearDown() override
    {
        m_client.reset();
        m_platform.reset();
    }

    /// Guards against lost updates that the real platform would refuse.
    void checksVersionsOnWrite()
    {
        CPPUNIT_ASSERT_EQUAL(404, m_client->get(at(), {"GET", m_path, {}, {}, {}}).status);
        CPPUNIT_ASSERT_EQUAL(201, putStatus("{\"a\":1}", 0));
        CPPUNIT_ASSERT_EQUAL(412, putStatus("{\"a\":2}", 0));
        CPPUNIT_ASSERT_EQUAL(200, putStatus("{\"a\":2}", 1));
        const auto refused = std::get<http::response>(put("{\"a\":3}", 1));
        CPPUNIT_ASSERT_EQUAL(412, refused.status);
        const auto body = nlohmann::json::parse(refused.body);
        CPPUNIT_ASSERT(body["version"] == 2 && body["value"]["a"] == 2);
        CPPUNIT_ASSERT(http::findHeader(refused.headers, "ETag") == "\"2\"");
        CPPUNIT_ASSERT_EQUAL(400, m_client->get(at(), {"PUT", m_path, {}, {}, "{}"}).status);
        const auto listed = m_client->getJson(at(), "/objects/configuration");
        CPPUNIT_ASSERT(listed["objects"]
                       == nlohmann::json({{{"name", "current"}, {"version", 2}}}));
    }

    /// Guards against watches that answer early, late or never.
    void watchWaitsForNewerVersion()
    {
        put("1", 0);
        const http::request watch{"GET", m_path, {{"after", "1"}, {"wait_ms", "4000"}}, {}, {}};
        const auto waiting = m_client->start(at(), watch);
        m_loop.runUntil([&] { return m_platform->counters().value("calls", "watch") == 1; });
        CPPUNIT_ASSERT(!waiting->has_value());
        put("2", 1);
        const auto answer = std::get<http::response>(m_client->wait(waiting));
        CPPUNIT_ASSERT(nlohmann::json::parse(answer.body)["version"] == 2);
        const http::request brief{"GET", m_path, {{"after", "2"}, {"wait_ms", "10"}}, {}, {}};
        CPPUNIT_ASSERT_EQUAL(304, m_client->get(at(), brief).status);
    }

    /// Guards against tests of lost answers in which the change was lost as well.
    void losesAnswersOfWritesThatTookEffect()
    {
        setFaults({{"lose_answers", 1}});
        const auto lost = put("1", 0);
        CPPUNIT_ASSERT(std::get<http::transport_failure>(lost).error
                       == http::transport_error::ConnectionLost);
        CPPUNIT_ASSERT(m_client->getJson(at(), m_path)["version"] == 1);
        CPPUNIT_ASSERT_EQUAL(200, putStatus("2", 1));
    }

    /// Guards against outages that some calls do not notice.
    void failsDuringOutage()
    {
        put("1", 0);
        const http::request watch{"GET", m_path, {{"after", "1"}, {"wait_ms", "4000"}}, {}, {}};
        const auto waiting = m_client->start(at(), watch);
        m_loop.runUntil([&] { return m_platform->counters().value("calls", "watch") == 1; });
        setFaults({{"outage", true}});
        CPPUNIT_ASSERT(std::holds_alternative<http::transport_failure>(m_client->wait(waiting)));
        CPPUNIT_ASSERT_EQUAL(503, putStatus("2", 1));
        CPPUNIT_ASSERT_EQUAL(503, m_client->get(at(), {"GET", "/hosts", {}, {}, {}}).status);
        setFaults({{"outage_kind", "drop"}});
        CPPUNIT_ASSERT(std::holds_alternative<http::transport_failure>(put("2", 1)));
        setFaults({{"outage_kind", "hang"}});
        const auto hanging = m_client->start(at(), {"GET", m_path, {}, {}, {}});
        m_loop.runUntil([&] { return m_platform->counters().value("calls", "get") == 1; });
        CPPUNIT_ASSERT(!hanging->has_value());
        setFaults({{"outage", false}});
        CPPUNIT_ASSERT(std::holds_alternative<http::transport_failure>(m_client->wait(hanging)));
        CPPUNIT_ASSERT(m_client->getJson(at(), m_path)["version"] == 1);
    }

    /// Guards against stale reads and restores that show the newest copy.
    void servesOldCopies()
    {
        put("1", 0);
        put("2", 1);
        setFaults({{"stale_reads", true}});
        CPPUNIT_ASSERT(m_client->getJson(at(), m_path)["value"] == 1);
        setFaults({{"stale_reads", false}});
        CPPUNIT_ASSERT(m_client->getJson(at(), m_path)["value"] == 2);
        setFaults({{"restore_version",
                    {{"kind", "configuration"}, {"name", "current"}, {"version", 1}}}});
        CPPUNIT_ASSERT(m_client->getJson(at(), m_path)["version"] == 1);
        CPPUNIT_ASSERT_EQUAL(200, putStatus("3", 1));
        CPPUNIT_ASSERT(m_client->getJson(at(), m_path)["value"] == 3);
    }

    /// Guards against tests of a lagging list in which it does not lag.
    void hostListLags()
    {
        const auto hosts = [](const char *state) {
            return nlohmann::json{{"hosts",
                                   {{{"id", "b1"},
                                     {"role", "backend"},
                                     {"zone", "z"},
                                     {"address", "127.0.0.1:1"},
                                     {"state", state}}}}};
        };
        CPPUNIT_ASSERT(m_platform->setHosts(hosts("live")).ok());
        setFaults({{"host_list_lag_ms", 60'000}});
        m_clock.current += std::chrono::seconds(100);
        const auto changed =
            m_client->get(at(), {"PUT", "/hosts", {}, {}, hosts("leaving").dump()});
        CPPUNIT_ASSERT_EQUAL(200, changed.status);
        m_clock.current += std::chrono::milliseconds(59'999);
        CPPUNIT_ASSERT(m_client->getJson(at(), "/hosts") == hosts("live"));
        m_clock.current += std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(m_client->getJson(at(), "/hosts") == hosts("leaving"));
        CPPUNIT_ASSERT_EQUAL(
            400, m_client->get(at(), {"PUT", "/hosts", {}, {}, hosts("gone").dump()}).status);
    }

    /// Guards against control calls in the counts that a bench compares with the budget.
    void countsCallsByKind()
    {
        put("1", 0);
        m_client->getJson(at(), m_path);
        m_client->getJson(at(), "/hosts");
        const auto counts = m_client->getJson(at(), "/counters");
        CPPUNIT_ASSERT(counts["calls"] == nlohmann::json({{"put", 1}, {"get", 1}, {"hosts", 1}}));
        CPPUNIT_ASSERT(counts["configuration"] == nlohmann::json({{"put", 1}, {"get", 1}}));
    }

    /// Guards against misspelt faults that silently test nothing.
    void rejectsUnknownFaults()
    {
        m_client->postJson(at(), "/faults", {{"outtage", true}}, 400);
        m_client->postJson(at(), "/faults", {{"outage", 1}}, 400);
        m_client->postJson(at(), "/faults", {{"outage_kind", "odd"}}, 400);
        CPPUNIT_ASSERT(m_client->getJson(at(), "/faults")["outage"] == false);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_standin_test);

} // namespace waxwing::standins
