#include "relay/peer_store_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class peer_store_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_store_server_test);
    CPPUNIT_TEST(hostsWaitingForTheSameRevisionShareOneAnswer);
    CPPUNIT_TEST(onlyTheNewestStateOfEachServerIsSent);
    CPPUNIT_TEST(answersAreCompressedForHostsThatAcceptIt);
    CPPUNIT_TEST(connectedHostsAreAnsweredOnce);
    CPPUNIT_TEST(refusesAllWaitingHostsWhenTheStoreFails);
    CPPUNIT_TEST(hostsOfAnEarlierEraListAgain);
    CPPUNIT_TEST(hostOfALaterEraIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_server.onStoreAnswer(store_object_kind::Servers, update(true, {"a", "b"}), 2, m_now,
                               m_effects);
    }

    /// Guards against building and formatting a large answer separately for each host of the zone,
    /// which stalls the event loop of a slow host for as long as callers wait.
    void hostsWaitingForTheSameRevisionShareOneAnswer()
    {
        sendWatch(1, 2);
        sendWatch(2, 2);
        sendWatch(3, 2);
        CPPUNIT_ASSERT(m_effects.empty());
        m_server.onStoreAnswer(store_object_kind::Servers, update(false, {"c", "d"}), 4, m_now,
                               m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        CPPUNIT_ASSERT((answer.ids == std::vector<request_id>{{1}, {2}, {3}}));
        const auto &content = std::get<store_answer>(answer.answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, content.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, content.revision);
    }

    /// Guards against answers that fill the link of a small host when hundreds of servers change
    /// several times within seconds, as while an index is divided into other shards.
    void onlyTheNewestStateOfEachServerIsSent()
    {
        m_server.onStoreAnswer(store_object_kind::Servers, update(false, {"c", "d", "c"}), 5, m_now,
                               m_effects);
        sendWatch(1, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        const auto &content = std::get<store_answer>(answer.answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, content.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("d"), content.objects[0].name);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), content.objects[1].name);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, content.objects[1].revision);
    }

    /// Guards against hosts that watch on with a revision of an earlier era, and against answers
    /// from the cache of that era.
    void hostsOfAnEarlierEraListAgain()
    {
        sendWatch(1, 2);
        m_server.beginEra(store_object_kind::Servers, 1);
        sendWatch(2, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        CPPUNIT_ASSERT(std::get<answer_peer>(m_effects.front()).answer
                       == (std::variant<store_answer, store_failure>(store_failure::Unavailable)));
        m_effects.clear();
        m_server.onStoreAnswer(store_object_kind::Servers, update(true, {"a"}), 1, m_now,
                               m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        CPPUNIT_ASSERT(answer.ids == std::vector<request_id>{{1}});
        CPPUNIT_ASSERT(answer.answer
                       == (std::variant<store_answer, store_failure>(store_failure::HistoryGone)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answer.era);
    }

    /// Guards against a host that takes an earlier era from one that is behind.
    void hostOfALaterEraIsRefused()
    {
        m_server.onPeerStoreRequest(
            {{1}, {store_object_kind::Servers, 1, watch_call{2, 1500ms, 1}, {}}}, m_now, m_effects);
        CPPUNIT_ASSERT(std::get<answer_peer>(m_effects.front()).answer
                       == (std::variant<store_answer, store_failure>(store_failure::Unavailable)));
    }

    /// Guards against compressed answers to hosts of an older version, which cannot read them.
    void answersAreCompressedForHostsThatAcceptIt()
    {
        sendWatch(1, 2);
        store_call call{store_object_kind::Servers, 2, watch_call{2, 1500ms}, {}};
        call.acceptsCompression = true;
        m_server.onPeerStoreRequest({{2}, call}, m_now, m_effects);
        m_server.onStoreAnswer(store_object_kind::Servers, update(false, {"c"}), 3, m_now,
                               m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_effects.size());
        for (const relay_effect &each : m_effects) {
            const auto &answer = std::get<answer_peer>(each);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.ids.size());
            CPPUNIT_ASSERT_EQUAL(answer.ids.front() == request_id{2}, answer.compressed);
        }
    }

    /// Guards against a second answer to a host and against an answer to a disconnected host.
    void connectedHostsAreAnsweredOnce()
    {
        sendWatch(1, 2);
        sendWatch(2, 2);
        m_server.onPeerDisconnected({1});
        m_server.onStoreAnswer(store_object_kind::Servers, update(false, {"c"}), 3, m_now,
                               m_effects);
        m_server.onStoreAnswer(store_object_kind::Servers, update(false, {"d"}), 4, m_now,
                               m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        CPPUNIT_ASSERT(answer.ids == std::vector<request_id>{{2}});
        CPPUNIT_ASSERT(!m_server.nextDeadline().has_value());
    }

    /// Guards against hosts that wait for the end of their watch before they call another reader,
    /// although this one has lost the store.
    void refusesAllWaitingHostsWhenTheStoreFails()
    {
        sendWatch(1, 2);
        sendWatch(2, 2);
        m_server.onStoreFailure(store_object_kind::Servers, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        CPPUNIT_ASSERT((answer.ids == std::vector<request_id>{{1}, {2}}));
        CPPUNIT_ASSERT(std::get<store_failure>(answer.answer) == store_failure::Unavailable);
    }

private:
    static store_update update(bool isComplete, const std::vector<std::string> &names)
    {
        store_update result{isComplete, {}};
        std::uint64_t revision = isComplete ? 0 : 2;
        for (const std::string &name : names) {
            store_object object;
            object.name = name;
            object.revision = ++revision;
            result.objects.push_back(object);
        }
        return result;
    }
    void sendWatch(std::uint64_t id, std::uint64_t revision)
    {
        const store_call call{store_object_kind::Servers, id, watch_call{revision, 1500ms}, {}};
        m_server.onPeerStoreRequest({{id}, call}, m_now, m_effects);
    }

    const time_point m_now{1h};
    peer_store_server m_server;
    relay_effect_list m_effects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_store_server_test);

} // namespace
} // namespace waxwing::relay
