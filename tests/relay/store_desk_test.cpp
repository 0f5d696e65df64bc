#include "relay/store_desk.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class store_desk_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_desk_test);
    CPPUNIT_TEST(answersTheHostsOfARevisionTogether);
    CPPUNIT_TEST(answersOnlyHostsThatStillWait);
    CPPUNIT_TEST(refusesAllAtOnceWhenTheStoreFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_desk.onStoreAnswer(followed_kind::Servers, update(true, {"a", "b"}), 2, m_now, m_effects);
    }

    /// Guards against a large answer that is made and formatted for each host of the zone, which
    /// holds the loop of a weak host up for as long as callers wait.
    void answersTheHostsOfARevisionTogether()
    {
        ask(1, 2);
        ask(2, 2);
        ask(3, 2);
        CPPUNIT_ASSERT(m_effects.empty());
        m_desk.onStoreAnswer(followed_kind::Servers, update(false, {"c", "d"}), 4, m_now,
                             m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        CPPUNIT_ASSERT((answer.ids == std::vector<request_id>{{1}, {2}, {3}}));
        const auto &content = std::get<store_answer>(answer.answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, content.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, content.revision);
    }

    /// Guards against a second answer to a host, and against one to a host that has gone.
    void answersOnlyHostsThatStillWait()
    {
        ask(1, 2);
        ask(2, 2);
        m_desk.onGone({1});
        m_desk.onStoreAnswer(followed_kind::Servers, update(false, {"c"}), 3, m_now, m_effects);
        m_desk.onStoreAnswer(followed_kind::Servers, update(false, {"d"}), 4, m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_effects.size());
        const auto &answer = std::get<answer_peer>(m_effects.front());
        CPPUNIT_ASSERT(answer.ids == std::vector<request_id>{{2}});
        CPPUNIT_ASSERT(!m_desk.nextDeadline().has_value());
    }

    /// Guards against hosts that wait for their time to end before they turn to another reader.
    void refusesAllAtOnceWhenTheStoreFails()
    {
        ask(1, 2);
        ask(2, 2);
        m_desk.onStoreFailure(followed_kind::Servers, m_effects);
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
    void ask(std::uint64_t id, std::uint64_t revision)
    {
        const store_call call{followed_kind::Servers, id, watch_call{revision, 1500ms}, {}};
        m_desk.onAsked({{id}, call}, m_now, m_effects);
    }

    const time_point m_now{1h};
    store_desk m_desk;
    relay_effect_list m_effects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_desk_test);

} // namespace
} // namespace waxwing::relay
