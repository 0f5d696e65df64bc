#include "configuration/example_document.h"
#include "configuration/fake_platform.h"
#include "configuration/submission.h"
#include "core/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace waxwing {
namespace {

using fault = fake_platform::fault;

/// Operators that change the same configuration at the same time, in an order and with faults that
/// a seed decides. Each makes a few changes, one after the other.
class schedule
{
public:
    explicit schedule(std::uint64_t seed) : m_random(seed)
    {
        const auto first = parseValid(smallDocument());
        m_platform.objects[{configurationKind, currentName}] = {3, formatConfiguration(first)};
        m_chain.push_back(first);
    }

    void run()
    {
        std::vector<sender> senders(3);
        for (int step = 0; step < 150; ++step) {
            if (m_random(10) == 0)
                m_platform.runLate();
            else
                advance(senders[m_random(3)]);
            follow();
        }
        while (m_platform.runLate())
            follow();
        check();
    }

private:
    struct sender
    {
        std::optional<submission> sending;
        submission::step next;
        std::string changeId;
    };

    void advance(sender &from)
    {
        if (!from.sending) {
            start(from);
            return;
        }
        m_platform.faults = {pickFault()};
        const auto call = std::get<submission::call_step>(from.next);
        from.next = from.sending->onAnswer(call.number, m_platform.call(call.call));
        if (const auto *outcome = std::get_if<submission_outcome>(&from.next)) {
            m_results[from.changeId] = outcome->result;
            from.sending.reset();
        }
    }

    fault pickFault()
    {
        constexpr fault faults[] = {fault::Down, fault::LostBefore, fault::LostAfter, fault::Late,
                                    fault::Stale};
        return m_random(4) == 0 ? faults[m_random(5)] : fault::None;
    }

    void start(sender &from)
    {
        from.changeId = "change-" + std::to_string(++m_changes);
        const auto &base = m_chain.back();
        auto policy = base.services[0].policy;
        policy.deadline = std::chrono::milliseconds(1000 + m_changes);
        const auto prepared = std::get<prepared_change>(
            prepareChange(base, {policy_edit{{"desk"}, policy}, from.changeId, "anna", "test"}));
        from.sending.emplace(submission_settings{}, base, prepared.next);
        from.next = from.sending->start();
    }

    /// Records each document that was the current one.
    void follow()
    {
        if (m_platform.current().version == m_followed)
            return;
        m_followed = m_platform.current().version;
        const auto now = *parseConfiguration(m_platform.current().text).value().document;
        m_chain.push_back(now);
    }

    void check() const
    {
        std::set<std::string> applied;
        for (std::size_t i = 1; i < m_chain.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(m_chain[i - 1].revision + 1, m_chain[i].revision);
            CPPUNIT_ASSERT(applied.insert(m_chain[i].changeId).second);
        }
        for (const auto &[changeId, result] : m_results) {
            if (result != submission_result::Unknown) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(changeId, result == submission_result::Accepted,
                                             applied.count(changeId) == 1);
            }
        }
    }

    random_engine m_random;
    fake_platform m_platform;
    std::vector<configuration> m_chain;
    std::map<std::string, submission_result> m_results;
    /// Version of the last document in `m_chain`.
    std::uint64_t m_followed = 3;
    int m_changes = 0;
};

} // namespace

class submission_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(submission_schedule_test);
    CPPUNIT_TEST(appliesEachChangeAtMostOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against schedules of faults and races in which a change is applied twice, is
    /// reported wrongly, or overwrites another one.
    void appliesEachChangeAtMostOnce()
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            try {
                schedule(seed).run();
            } catch (CppUnit::Exception &failure) {
                failure.setMessage(
                    CppUnit::Message("seed " + std::to_string(seed), failure.what()));
                throw;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(submission_schedule_test);

} // namespace waxwing
