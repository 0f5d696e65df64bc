#include "configuration/example_document.h"
#include "configuration/fake_platform.h"
#include "configuration/submission.h"
#include "configuration/wall_time_text.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {
namespace {

using step = submission::step;

using fault = fake_platform::fault;

submission_outcome run(submission &sending, step next, fake_platform &platform)
{
    for (int i = 0; i < 100; ++i) {
        if (const auto *outcome = std::get_if<submission_outcome>(&next))
            return *outcome;
        const auto call = std::get<submission::call_step>(next);
        next = sending.onAnswer(call.number, platform.call(call.call));
    }
    CPPUNIT_FAIL("the submission does not end");
    return {};
}

} // namespace

class submission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(submission_test);
    CPPUNIT_TEST(acceptsOnce);
    CPPUNIT_TEST(createsFirstDocument);
    CPPUNIT_TEST(endsInOutage);
    CPPUNIT_TEST(recognisesLostAnswers);
    CPPUNIT_TEST(recognisesChangeBelowOthers);
    CPPUNIT_TEST(tellsLoserOfRaceWhatChanged);
    CPPUNIT_TEST(ignoresRepeatedAnswers);
    CPPUNIT_TEST(asksAgainAfterStaleRead);
    CPPUNIT_TEST(restoresNewerRevisionOnly);
    CPPUNIT_TEST_SUITE_END();

    const configuration m_base = parseValid(smallDocument());
    fake_platform m_platform;

    static configuration_copy change(const configuration &base, const char *id, int deadline)
    {
        auto policy = base.services[0].policy;
        policy.deadline = std::chrono::milliseconds(deadline);
        return std::get<prepared_change>(
                   prepareChange(base, {policy_edit{{"desk"}, policy}, id, "anna", "test"}))
            .next;
    }

    submission_outcome submit(const configuration &base, const configuration_copy &next,
                              submission_settings settings = {})
    {
        submission sending(settings, base, next);
        return run(sending, sending.start(), m_platform);
    }

    void assertResult(submission_result expected, const submission_outcome &outcome) const
    {
        CPPUNIT_ASSERT_MESSAGE(outcome.detail, expected == outcome.result);
    }

public:
    void setUp() override
    {
        m_platform = {};
        m_platform.objects[{configurationKind, currentName}] = {3, formatConfiguration(m_base)};
    }

    /// Guards against changes and revisions that are missing from the history.
    void acceptsOnce()
    {
        const auto next = change(m_base, "x", 300);
        assertResult(submission_result::Accepted, submit(m_base, next));
        CPPUNIT_ASSERT_EQUAL(next.text, m_platform.current().text);
        CPPUNIT_ASSERT_EQUAL(formatConfiguration(m_base),
                             m_platform.objects.at({historyKind, "7"}).text);
        CPPUNIT_ASSERT_EQUAL(next.text, m_platform.objects.at({historyKind, "8"}).text);
    }

    /// Guards against a first installation that needs a document to start from.
    void createsFirstDocument()
    {
        m_platform.objects.clear();
        const auto next = std::get<prepared_change>(
            prepareChange({}, {document_edit{m_base}, "x", "anna", "first"}));
        assertResult(submission_result::Accepted, submit({}, next.next));
        m_platform.objects.clear();
        assertResult(submission_result::Refused, submit(m_base, change(m_base, "y", 300)));
    }

    /// Guards against a tool that hangs, or reports success, while the platform is down.
    void endsInOutage()
    {
        const auto next = change(m_base, "x", 300);
        m_platform.faults.assign(100, fault::Down);
        assertResult(submission_result::Unreachable, submit(m_base, next));
        m_platform.faults = {fault::Down, fault::Down, fault::None, fault::Down};
        assertResult(submission_result::Accepted, submit(m_base, next));
        CPPUNIT_ASSERT_EQUAL(1, m_platform.writes);
    }

    /// Guards against a change that is applied twice, or reported as failed although it holds,
    /// when the answer to its write is lost before or after the write took effect.
    void recognisesLostAnswers()
    {
        for (const auto lost : {fault::LostBefore, fault::LostAfter}) {
            setUp();
            const auto next = change(m_base, "x", 300);
            m_platform.faults = {fault::None, fault::None, lost};
            assertResult(submission_result::Accepted, submit(m_base, next));
            CPPUNIT_ASSERT_EQUAL(1, m_platform.writes);
            // The operator sends the change again.
            assertResult(submission_result::Accepted, submit(m_base, next));
            CPPUNIT_ASSERT_EQUAL(1, m_platform.writes);

            setUp();
            m_platform.faults = {fault::None, fault::None, lost};
            m_platform.faults.insert(m_platform.faults.end(), 20, fault::Down);
            assertResult(submission_result::Unknown, submit(m_base, next));
        }
    }

    /// Guards against a lost answer reported as a conflict because another change followed.
    void recognisesChangeBelowOthers()
    {
        const auto ours = change(m_base, "x", 300);
        submission sending({}, m_base, ours);
        auto next = sending.start();
        for (int i = 0; i < 2; ++i) {
            const auto call = std::get<submission::call_step>(next);
            next = sending.onAnswer(call.number, m_platform.call(call.call));
        }
        const auto write = std::get<submission::call_step>(next);
        m_platform.call(write.call);
        assertResult(submission_result::Accepted,
                     submit(*ours.document, change(*ours.document, "other", 400)));
        next = sending.onAnswer(write.number, call_failed{true, "connection lost"});
        assertResult(submission_result::Accepted, run(sending, next, m_platform));
        CPPUNIT_ASSERT_EQUAL(2, m_platform.writes);
    }

    /// Guards against a lost update when two operators send changes of the same revision, at every
    /// point of one submission at which the other may come in between.
    void tellsLoserOfRaceWhatChanged()
    {
        for (int calls = 0; calls <= 2; ++calls) {
            setUp();
            submission loser({}, m_base, change(m_base, "x", 300));
            auto next = loser.start();
            for (int i = 0; i < calls; ++i) {
                const auto call = std::get<submission::call_step>(next);
                next = loser.onAnswer(call.number, m_platform.call(call.call));
            }
            assertResult(submission_result::Accepted, submit(m_base, change(m_base, "y", 400)));
            const auto outcome = run(loser, next, m_platform);
            assertResult(submission_result::Conflict, outcome);
            const std::vector<field_difference> expected{
                {"/services/desk/policy/deadline_ms", "200", "400"}};
            CPPUNIT_ASSERT(expected == outcome.changedSince);
            CPPUNIT_ASSERT_EQUAL(1, m_platform.writes);
        }
    }

    /// Guards against an answer that arrives twice and moves the submission two steps.
    void ignoresRepeatedAnswers()
    {
        submission sending({}, m_base, change(m_base, "x", 300));
        auto next = sending.start();
        while (std::holds_alternative<submission::call_step>(next)) {
            const auto call = std::get<submission::call_step>(next);
            const auto answer = m_platform.call(call.call);
            next = sending.onAnswer(call.number, answer);
            CPPUNIT_ASSERT(
                std::holds_alternative<std::monostate>(sending.onAnswer(call.number, answer)));
        }
        assertResult(submission_result::Accepted, std::get<submission_outcome>(next));
        CPPUNIT_ASSERT_EQUAL(1, m_platform.writes);
    }

    /// Guards against a stale read that is taken for a lost configuration, and against a restored
    /// old copy that is built upon.
    void asksAgainAfterStaleRead()
    {
        const auto accepted = change(m_base, "y", 400);
        submission sending({}, *accepted.document, change(*accepted.document, "x", 300));
        const auto first = std::get<submission::call_step>(sending.start());
        const auto next = sending.onAnswer(first.number, m_platform.call(first.call));
        CPPUNIT_ASSERT(std::get<submission::call_step>(next).call.pause.count() > 0);
        m_platform.objects[{configurationKind, currentName}] = {4, accepted.text};
        assertResult(submission_result::Accepted, run(sending, next, m_platform));

        setUp();
        assertResult(submission_result::Refused,
                     submit(*accepted.document, change(*accepted.document, "x", 300)));
        CPPUNIT_ASSERT_EQUAL(0, m_platform.writes);
    }

    /// Guards against a restore that overwrites a newer revision, or that an old, broken or
    /// missing document prevents.
    void restoresNewerRevisionOnly()
    {
        submission_settings settings;
        settings.restore = true;
        const auto newest = change(m_base, "y", 400);
        assertResult(submission_result::Accepted, submit({}, newest, settings));
        m_platform.objects.clear();
        assertResult(submission_result::Accepted, submit({}, newest, settings));
        m_platform.objects[{configurationKind, currentName}] = {5, "{}"};
        assertResult(submission_result::Accepted, submit({}, newest, settings));
        CPPUNIT_ASSERT_EQUAL(newest.text, m_platform.current().text);
        m_platform.objects[{configurationKind, currentName}].text = change(m_base, "z", 500).text;
        assertResult(submission_result::Conflict, submit({}, newest, settings));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(submission_test);

} // namespace waxwing
