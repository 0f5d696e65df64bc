#include "entry/departure_tracker.h"
#include "entry/entry_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {
using namespace std::chrono_literals;

class departure_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_tracker_test);
    CPPUNIT_TEST(serverReportIsPublishedToPeersImmediately);
    CPPUNIT_TEST(peerDepartureLastsUntilItExpires);
    CPPUNIT_TEST(missingListEntryKeepsServerReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = {};
        m_tracker = {};
        m_pool = std::make_unique<backend_pool>(backend_pool_settings{}, zone_id{"z"});
        configuration document;
        document.servers.resize(1);
        document.servers[0].id = m_leaf;
        m_pool->configure(document, m_fixture.now);
        m_members = std::make_unique<membership>(membership_settings{});
        member self;
        self.host = {"self"};
        self.zone = {"z"};
        member peer = self;
        peer.host = {"peer"};
        peer.gossip = {"127.0.0.1", 7000};
        auto context = m_fixture.context();
        m_members->start(context, self, {});
        m_members->onPeerState(context, {{peer}, {}, ""});
        m_fixture.effects.clear();
    }

    /// Guards against other hosts that send requests to a draining server until they poll it.
    void serverReportIsPublishedToPeersImmediately()
    {
        auto context = m_fixture.context();
        m_tracker.onSelfReports(context, *m_pool, *m_members, {{m_leaf, true}});
        CPPUNIT_ASSERT(isLeaving());
        bool published = false;
        for (const auto &sent : m_fixture.all<send_datagram>())
            for (const fact &each : sent.message.facts)
                published = published
                    || (each.kind == fact_kind::ServerLeaving && each.subject == m_leaf.value);
        CPPUNIT_ASSERT(published);
        m_fixture.effects.clear();
        m_fixture.now += 30s;
        CPPUNIT_ASSERT_MESSAGE("renewed", m_tracker.nextDeadline() == m_fixture.now);
        m_tracker.onSelfReports(context, *m_pool, *m_members, {{m_leaf, false}});
        CPPUNIT_ASSERT(!isLeaving());
    }

    /// Guards against a departure that is lost with a new configuration or never expires.
    void peerDepartureLastsUntilItExpires()
    {
        auto context = m_fixture.context();
        const fact received{fact_kind::ServerLeaving, m_leaf.value, {"peer"}, 1, 1, 60s};
        m_tracker.onFact(context, *m_pool, received);
        CPPUNIT_ASSERT(isLeaving());
        m_pool->setLeaving(m_leaf, false);
        m_tracker.reapply(*m_pool);
        CPPUNIT_ASSERT(isLeaving());
        m_fixture.now += 60s;
        auto later = m_fixture.context();
        m_tracker.onTick(later, *m_pool, *m_members);
        CPPUNIT_ASSERT(!isLeaving());
        CPPUNIT_ASSERT(!m_tracker.nextDeadline().has_value());
    }

    /// Guards against an outdated platform list that returns a draining server to use.
    void missingListEntryKeepsServerReport()
    {
        auto context = m_fixture.context();
        m_tracker.onSelfReports(context, *m_pool, *m_members, {{m_leaf, true}});
        m_tracker.onPlatformList(context, *m_pool, *m_members, {});
        CPPUNIT_ASSERT(isLeaving());
        m_tracker.onPlatformList(context, *m_pool, *m_members, {m_leaf});
        m_tracker.onSelfReports(context, *m_pool, *m_members, {{m_leaf, false}});
        CPPUNIT_ASSERT(isLeaving());
        m_tracker.onPlatformList(context, *m_pool, *m_members, {});
        CPPUNIT_ASSERT(!isLeaving());
    }

private:
    bool isLeaving() const { return m_pool->isLeaving(m_leaf, wall_time(1h)); }

    server_id m_leaf{"leaf"};
    entry_fixture m_fixture;
    departure_tracker m_tracker;
    std::unique_ptr<backend_pool> m_pool;
    std::unique_ptr<membership> m_members;
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_tracker_test);

} // namespace waxwing
