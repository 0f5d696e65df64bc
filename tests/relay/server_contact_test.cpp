#include "relay/server_contact.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing::relay {
namespace {

using namespace std::chrono_literals;

class server_contact_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_contact_test);
    CPPUNIT_TEST(threeServersWithoutResponseAreEvidence);
    CPPUNIT_TEST(overdueServersAreEvidence);
    CPPUNIT_TEST(answersThatWaitedAreCounterEvidence);
    CPPUNIT_TEST(answersOfOthersAreCounterEvidence);
    CPPUNIT_TEST(firstAnswerEndsTheLoss);
    CPPUNIT_TEST(lossEndsWithoutFurtherEvidence);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a host that does not notice that it reaches no server, and against one that
    /// notices it twice.
    void threeServersWithoutResponseAreEvidence()
    {
        m_contact.onAnswer(m_now);
        m_now += 1s;
        for (const char *server : {"a", "b", "a"})
            m_contact.onNoResponse({server}, m_now);
        CPPUNIT_ASSERT(!m_contact.check({}, m_now));
        CPPUNIT_ASSERT(!m_contact.nextCheck().has_value());
        m_contact.onNoResponse({"c"}, m_now);
        CPPUNIT_ASSERT(!m_contact.check({}, m_now));
        CPPUNIT_ASSERT(m_contact.nextCheck() == m_now + 20ms);
        m_now += 20ms;
        CPPUNIT_ASSERT(m_contact.check({}, m_now));
        CPPUNIT_ASSERT(m_contact.isLost());
        CPPUNIT_ASSERT(!m_contact.nextCheck().has_value());
        CPPUNIT_ASSERT(!m_contact.check({}, m_now));
    }

    /// Guards against a host that waits until its connections time out.
    void overdueServersAreEvidence()
    {
        m_contact.onAnswer(m_now);
        CPPUNIT_ASSERT(!m_contact.check({{"a"}, {"b"}, {"c"}}, m_now + 79ms));
        CPPUNIT_ASSERT(!m_contact.nextCheck().has_value());
        CPPUNIT_ASSERT(!m_contact.check({{"a"}, {"b"}}, m_now + 80ms));
        CPPUNIT_ASSERT(!m_contact.check({{"a"}, {"b"}, {"c"}}, m_now + 80ms));
        CPPUNIT_ASSERT(m_contact.check({{"a"}, {"b"}, {"c"}}, m_now + 100ms));
    }

    /// Guards against a host that was held up and takes its own silence for that of the servers.
    /// It reads their answers right after it has found them overdue.
    void answersThatWaitedAreCounterEvidence()
    {
        for (int i = 0; i < 10; ++i) {
            m_now += 200ms;
            CPPUNIT_ASSERT(!m_contact.check({{"a"}, {"b"}, {"c"}}, m_now));
            m_contact.onAnswer(m_now + 1ms);
        }
    }

    /// Guards against servers that failed at different times, while others answered, and that
    /// together look like a loss of contact when traffic stops.
    void answersOfOthersAreCounterEvidence()
    {
        for (const char *server : {"a", "b", "c", "d"}) {
            m_contact.onNoResponse({server}, m_now);
            m_contact.onAnswer(m_now);
        }
        CPPUNIT_ASSERT(!m_contact.check({}, m_now + 10s));
    }

    /// Guards against a host that goes on to believe that it reaches no server.
    void firstAnswerEndsTheLoss()
    {
        lose();
        CPPUNIT_ASSERT(m_contact.isLost());
        CPPUNIT_ASSERT(m_contact.onAnswer(m_now + 2s) == 2s);
        CPPUNIT_ASSERT(!m_contact.isLost());
        CPPUNIT_ASSERT(!m_contact.onAnswer(m_now + 3s).has_value());
    }

    /// Guards against a host that has no requests with which servers can be tried and never uses
    /// them again.
    void lossEndsWithoutFurtherEvidence()
    {
        lose();
        m_now += 2s;
        m_contact.onNoResponse({"d"}, m_now);
        CPPUNIT_ASSERT(!m_contact.expire(m_now + 2999ms));
        CPPUNIT_ASSERT(m_contact.isLost());
        CPPUNIT_ASSERT(m_contact.expire(m_now + 3s));
        CPPUNIT_ASSERT(!m_contact.isLost());
        CPPUNIT_ASSERT(!m_contact.check({}, m_now + 3s));
    }

private:
    void lose()
    {
        m_contact.check({{"a"}, {"b"}, {"c"}}, m_now - 20ms);
        m_contact.check({{"a"}, {"b"}, {"c"}}, m_now);
    }

    server_contact m_contact{{}};
    time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_contact_test);

} // namespace
} // namespace waxwing::relay
