#include "standins/backend_fleet.h"

#include "standins/fleet_document.h"
#include "standins/standin_fixture.h"

#include <array>

namespace waxwing::standins {

class backend_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_fleet_test);
    CPPUNIT_TEST(answersSearchesWithGeneratedHits);
    CPPUNIT_TEST(holdsLastTwoVersions);
    CPPUNIT_TEST(shedsOverQueueBound);
    CPPUNIT_TEST(cancelsWithoutClosingTheConnection);
    CPPUNIT_TEST(givesUpAtDeadline);
    CPPUNIT_TEST(refusesConnectionsOverLimit);
    CPPUNIT_TEST(crashesOnPoisonAndRestarts);
    CPPUNIT_TEST(showsDoubleRuns);
    CPPUNIT_TEST(refusesWhileDraining);
    CPPUNIT_TEST(damagesReplies);
    CPPUNIT_TEST(freezesAndThaws);
    CPPUNIT_TEST(healthLiesAndLags);
    CPPUNIT_TEST(appliesNewDocument);
    CPPUNIT_TEST(rejectsUnknownFaults);
    CPPUNIT_TEST_SUITE_END();

    http::test_loop m_loop;
    manual_clock m_clock;
    std::unique_ptr<backend_fleet> m_fleet;
    std::unique_ptr<blocking_client> m_client;
    nlohmann::json m_document = {
        {"backend_servers",
         {{{"id", "b1"},
           {"zone", "z1"},
           {"address", "127.0.0.1:0"},
           {"slots", 1},
           {"connection_limit", 4}},
          {{"id", "b2"},
           {"zone", "z2"},
           {"address", "127.0.0.1:0"},
           {"slots", 1},
           {"connection_limit", 4}}}},
        {"services",
         {{{"id", "svc"},
           {"partitionings",
            {{{"generation", 1},
              {"shards", {{{"id", "s1"}, {"documents", 200}, {"replicas", {"b1", "b2"}}}}}}}}}}}};

    void start(std::set<zone_id> zones = {})
    {
        backend_fleet_settings settings;
        settings.zones = std::move(zones);
        settings.server.serviceTime = std::chrono::milliseconds(2);
        settings.server.coldTime = std::chrono::milliseconds(0);
        settings.server.connectionCost = std::chrono::microseconds(100);
        settings.server.queueBound = 1;
        settings.server.restartTime = std::chrono::milliseconds(20);
        const auto document = parseFleetDocument(m_document.dump());
        CPPUNIT_ASSERT(document.ok());
        m_fleet = backend_fleet::create(m_loop.base(), m_clock, settings, *document).value();
    }

    endpoint at(const char *id = "b1") const { return m_fleet->addressOf({id}).value(); }

    static http::request search(const std::string &id, const std::string &query = "q",
                                std::uint64_t version = 1)
    {
        const nlohmann::json body{{"request_id", id},  {"service", "svc"},   {"shard", "s1"},
                                  {"partitioning", 1}, {"version", version}, {"query", query},
                                  {"limit", 10}};
        return {"POST", "/search", {}, {}, body.dump()};
    }

    static http::request command(const std::string &id)
    {
        const nlohmann::json body{{"request_id", id},     {"service", "svc"},
                                  {"shard", "s1"},        {"document", "d"},
                                  {"operation", "enrol"}, {"payload", {{"n", 1}}}};
        return {"POST", "/command", {}, {}, body.dump()};
    }

    void setFaults(const nlohmann::json &change)
    {
        m_client->postJson(m_fleet->controlEndpoint(), "/faults", change);
    }

    std::uint64_t counter(const char *name, const char *id = "b1")
    {
        return m_client->getJson(m_fleet->controlEndpoint(), "/counters")["servers"][id].value(
            name, std::uint64_t{0});
    }

    /// Problem with the expected status and title.
    void assertProblem(const http::client::outcome &outcome, int status, const char *title)
    {
        const auto answer = std::get<http::response>(outcome);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, status, answer.status);
        const auto body = nlohmann::json::parse(answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string(title), body["title"].get<std::string>());
        CPPUNIT_ASSERT(status != 503 || body["execution"] == "not-run");
        CPPUNIT_ASSERT(status != 503 || http::findHeader(answer.headers, "Retry-After"));
    }

    /// Waits until `name` of the server b1 has reached `value`.
    void awaitCounter(const char *name, std::uint64_t value)
    {
        for (int i = 0; counter(name) < value; ++i)
            CPPUNIT_ASSERT_MESSAGE(name, i < 1000);
    }

public:
    void setUp() override
    {
        start();
        m_client = std::make_unique<blocking_client>(m_loop);
    }
    void tearDown() override
    {
        m_client.reset();
        m_fleet.reset();
    }

    /// Guards against replies that a checker cannot compute again.
    void answersSearchesWithGeneratedHits()
    {
        const auto answer = m_client->get(at(), search("r1"));
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        const auto body = nlohmann::json::parse(answer.body);
        CPPUNIT_ASSERT(body["request_id"] == "r1" && body["documents_total"] == 200);
        CPPUNIT_ASSERT(body["held"] == nlohmann::json({{{"partitioning", 1}, {"version", 1}}}));
        const document_generator generator(parseFleetDocument(m_document.dump())->services[0]);
        const auto expected = generator.search(generator.wholeRange(1).value(), 1, "q", 10);
        CPPUNIT_ASSERT_EQUAL(expected.size(), body["hits"].size());
        for (std::size_t i = 0; i < expected.size(); ++i)
            CPPUNIT_ASSERT(body["hits"][i]["id"] == expected[i].id
                           && body["hits"][i]["score"] == expected[i].score);
    }

    /// Guards against snapshots that stay available for ever.
    void holdsLastTwoVersions()
    {
        assertProblem(m_client->call(at(), search("r1", "q", 2)), 409, "version-not-held");
        setFaults({{"server", "b1"}, {"publish_version", "*"}});
        setFaults({{"server", "b1"}, {"publish_version", "svc"}});
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at(), search("r2", "q", 2)).status);
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at(), search("r3", "q", 3)).status);
        const auto refused = m_client->get(at(), search("r4"));
        CPPUNIT_ASSERT_EQUAL(409, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, nlohmann::json::parse(refused.body)["held"].size());
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at("b2"), search("r5")).status);
    }

    /// Guards against servers that never refuse, so that overload is not tested.
    void shedsOverQueueBound()
    {
        setFaults({{"slow_factor", 10}});
        const auto running = m_client->start(at(), search("r1"));
        const auto queued = m_client->start(at(), search("r2"));
        awaitCounter("queued", 1);
        assertProblem(m_client->call(at(), search("r3")), 503, "overloaded");
        CPPUNIT_ASSERT_EQUAL(200, std::get<http::response>(m_client->wait(running)).status);
        CPPUNIT_ASSERT_EQUAL(200, std::get<http::response>(m_client->wait(queued)).status);
        setFaults({{"shed", 1}});
        assertProblem(m_client->call(at(), search("r4")), 503, "overloaded");
    }

    /// Guards against cancellations that cost a connection or do not free the slot.
    void cancelsWithoutClosingTheConnection()
    {
        setFaults({{"slow_factor", 1000}});
        const auto cancelled = m_client->start(at(), search("r1"));
        awaitCounter("busy", 1);
        const http::request stop{"DELETE", "/requests/r1", {}, {}, {}};
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at(), stop).status);
        assertProblem(m_client->wait(cancelled), 499, "cancelled");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counter("busy"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counter("connections"));
        CPPUNIT_ASSERT(nlohmann::json::parse(m_client->get(at(), stop).body)["cancelled"] == false);
    }

    /// Guards against work for callers that have given up.
    void givesUpAtDeadline()
    {
        setFaults({{"slow_factor", 1000}});
        auto message = search("r1");
        message.headers = {{"Request-Timeout-Ms", "5"}};
        assertProblem(m_client->call(at(), message), 504, "deadline-exceeded");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counter("busy"));
    }

    /// Guards against entry hosts that are tested with more connections than leaves accept.
    void refusesConnectionsOverLimit()
    {
        std::array<std::unique_ptr<http::raw_connection>, 4> idle;
        for (auto &connection : idle)
            connection = std::make_unique<http::raw_connection>(at());
        awaitCounter("connections", 4);
        const auto refused = m_client->call(at(), search("r1"));
        assertProblem(refused, 503, "connection-limit");
        CPPUNIT_ASSERT(http::findHeader(std::get<http::response>(refused).headers, "Connection")
                       == "close");
    }

    /// Guards against poison requests that leave the server usable, or never let it come back.
    void crashesOnPoisonAndRestarts()
    {
        const endpoint address = at();
        const auto outcome = m_client->call(address, search("r1", "a POISON b"));
        CPPUNIT_ASSERT(std::get<http::transport_failure>(outcome).error
                       == http::transport_error::ConnectionLost);
        const auto during = m_client->call(address, search("r2"));
        CPPUNIT_ASSERT(std::get<http::transport_failure>(during).error
                       == http::transport_error::ConnectFailed);
        m_loop.runUntil([&] {
            const auto next = m_client->call(address, search("r3"));
            return std::holds_alternative<http::response>(next);
        });
        CPPUNIT_ASSERT(at() == address);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counter("crash"));
    }

    /// Guards against double runs that no counter shows.
    void showsDoubleRuns()
    {
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at(), command("r1")).status);
        const auto commands = [this] {
            return m_client->getJson(m_fleet->controlEndpoint(), "/counters")["commands"];
        };
        CPPUNIT_ASSERT(commands()["runs"] == 1 && commands()["double_runs_by_key"].empty());
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at("b2"), command("r2")).status);
        CPPUNIT_ASSERT(commands()["double_runs_by_key"]
                       == nlohmann::json({{"svc/d/{\"n\":1}", 2}}));
        CPPUNIT_ASSERT(commands()["double_runs_by_request"].empty());
    }

    /// Guards against leaving servers that go on taking work.
    void refusesWhileDraining()
    {
        setFaults({{"zone", "z1"}, {"drain", true}});
        assertProblem(m_client->call(at(), search("r1")), 503, "draining");
        CPPUNIT_ASSERT(m_client->getJson(at(), "/health")["status"] == "draining");
        CPPUNIT_ASSERT_EQUAL(200, m_client->get(at("b2"), search("r2")).status);
    }

    /// Guards against reply faults that do not damage the reply.
    void damagesReplies()
    {
        setFaults({{"truncate_replies", 1}});
        CPPUNIT_ASSERT(!nlohmann::json::accept(m_client->get(at(), search("r1")).body));
        setFaults({{"truncate_replies", 0}, {"wrong_request_id", 1}});
        const auto wrong = nlohmann::json::parse(m_client->get(at(), search("r2")).body);
        CPPUNIT_ASSERT(wrong["request_id"] != "r2");
        setFaults({{"wrong_request_id", 0}, {"lose_replies", 1}});
        CPPUNIT_ASSERT(
            std::holds_alternative<http::transport_failure>(m_client->call(at(), command("r3"))));
        CPPUNIT_ASSERT(
            m_client->getJson(m_fleet->controlEndpoint(), "/counters")["commands"]["runs"] == 1);
    }

    /// Guards against frozen servers that answer, or that lose requests when they go on.
    void freezesAndThaws()
    {
        setFaults({{"freeze", true}});
        const auto waiting = m_client->start(at(), search("r1"));
        awaitCounter("connections", 1);
        CPPUNIT_ASSERT(!waiting->has_value());
        setFaults({{"freeze", false}});
        CPPUNIT_ASSERT_EQUAL(200, std::get<http::response>(m_client->wait(waiting)).status);
        setFaults({{"freeze", true}});
        const auto lost = m_client->start(at(), search("r2"));
        setFaults({{"crash", true}});
        CPPUNIT_ASSERT(std::holds_alternative<http::transport_failure>(m_client->wait(lost)));
    }

    /// Guards against health reports that are always true and fresh.
    void healthLiesAndLags()
    {
        CPPUNIT_ASSERT(m_client->getJson(at(), "/load")["busy"] == 0);
        setFaults({{"health_lies", true}});
        const auto lie = m_client->getJson(at(), "/health");
        CPPUNIT_ASSERT(lie["status"] == "draining");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lie["held"]["svc"]["s1"].size());
        CPPUNIT_ASSERT(m_client->getJson(at(), "/load")["busy"] == 1);
        setFaults({{"health_lies", false}, {"health_lag_ms", 1000}});
        CPPUNIT_ASSERT(m_client->getJson(at(), "/load")["busy"] == 1);
        m_clock.current += std::chrono::milliseconds(1000);
        CPPUNIT_ASSERT(m_client->getJson(at(), "/load")["busy"] == 0);
    }

    /// Guards against servers that keep the shards of an old document or another zone.
    void appliesNewDocument()
    {
        start({{"z2"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fleet->size());
        m_document["services"][0]["partitionings"][0]["generation"] = 2;
        const auto changed = m_client->get(m_fleet->controlEndpoint(),
                                           {"PUT", "/configuration", {}, {}, m_document.dump()});
        CPPUNIT_ASSERT_EQUAL(200, changed.status);
        const auto refused = m_client->get(at("b2"), search("r1"));
        CPPUNIT_ASSERT_EQUAL(409, refused.status);
        CPPUNIT_ASSERT(nlohmann::json::parse(refused.body)["held"][0]["partitioning"] == 2);
    }

    /// Guards against misspelt faults that silently test nothing.
    void rejectsUnknownFaults()
    {
        const endpoint control = m_fleet->controlEndpoint();
        m_client->postJson(control, "/faults", {{"slow", 2}}, 400);
        m_client->postJson(control, "/faults", {{"shed", 2}}, 400);
        m_client->postJson(control, "/faults", {{"server", "b9"}, {"shed", 1}}, 404);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_fleet_test);

} // namespace waxwing::standins
