#include "entry/entry_fixture.h"
#include "entry/health_poller.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

using namespace std::chrono_literals;

class health_poller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(health_poller_test);
    CPPUNIT_TEST(pollsHeldServersEveryTwoSeconds);
    CPPUNIT_TEST(releasesConnectionsOfServersNoLongerHeld);
    CPPUNIT_TEST(serverHeldAgainKeepsConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against hosts that do not detect an idle server, or that all poll at the same time.
    void pollsHeldServersEveryTwoSeconds()
    {
        entry_fixture fixture;
        health_poller poller({});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, assign(fixture, poller, "host").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.all<limit_connections>().size());
        const time_point start = fixture.now;
        while (*poller.nextDeadline() <= start + 60s) {
            fixture.now = *poller.nextDeadline();
            auto context = fixture.context();
            poller.onTick(context);
        }
        const auto polls = fixture.all<poll_health>().size();
        CPPUNIT_ASSERT(polls >= 56 && polls <= 70);
    }

    /// Guards against connections of former holders that exhaust a server's connection limit.
    void releasesConnectionsOfServersNoLongerHeld()
    {
        entry_fixture fixture;
        health_poller poller({});
        assign(fixture, poller, "host");
        fixture.effects.clear();
        CPPUNIT_ASSERT(assign(fixture, poller, "host").empty());
        CPPUNIT_ASSERT(fixture.effects.empty());
        CPPUNIT_ASSERT(assign(fixture, poller, "other").empty());
        const time_point released = fixture.now + 2s;
        CPPUNIT_ASSERT(tickUntil(fixture, poller, released - 1ms).empty());
        CPPUNIT_ASSERT(fixture.all<limit_connections>().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tickUntil(fixture, poller, released).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.all<limit_connections>().size());
        for (const auto &limit : fixture.all<limit_connections>())
            CPPUNIT_ASSERT_EQUAL(0U, limit.limit);
        CPPUNIT_ASSERT(!poller.nextDeadline().has_value());
    }

    /// Guards against releasing connections on a schedule set before the host became holder again.
    void serverHeldAgainKeepsConnections()
    {
        entry_fixture fixture;
        health_poller poller({});
        assign(fixture, poller, "host");
        assign(fixture, poller, "other");
        CPPUNIT_ASSERT(assign(fixture, poller, "host").empty());
        CPPUNIT_ASSERT(tickUntil(fixture, poller, fixture.now + 10s).empty());
    }

private:
    /// Handles what is due until `end`; returns the limits that changed.
    static std::map<server_id, std::uint32_t> tickUntil(entry_fixture &fixture,
                                                        health_poller &poller, time_point end)
    {
        std::map<server_id, std::uint32_t> changed;
        while (poller.nextDeadline().has_value() && *poller.nextDeadline() <= end) {
            fixture.now = *poller.nextDeadline();
            auto context = fixture.context();
            changed.merge(poller.onTick(context));
        }
        return changed;
    }

    /// Assigns the servers of a document of one service, held by `host`.
    static std::map<server_id, std::uint32_t> assign(entry_fixture &fixture, health_poller &poller,
                                                     const char *self)
    {
        configuration document;
        document.zones = {{"z"}};
        for (const char *name : {"leaf-1", "leaf-2"}) {
            backend_server server;
            server.id = {name};
            server.zone = {"z"};
            document.servers.push_back(server);
        }
        service target;
        target.id = {"desk"};
        target.partitionings = {{1, {{{"s"}, 1, {{"leaf-1"}, {"leaf-2"}}}}}};
        document.services = {target};
        member holder;
        holder.host = {"host"};
        holder.zone = {"z"};
        const auto holders = holder_assignment::compute(document, {holder}, {});
        auto context = fixture.context();
        return poller.assign(context, document, holders, {self});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(health_poller_test);

} // namespace waxwing
