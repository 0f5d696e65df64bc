#include "configuration/change.h"
#include "configuration/example_document.h"
#include "configuration/wall_time_text.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {
namespace {

change_proposal propose(configuration_edit edit, bool allowUncovered = false)
{
    return {std::move(edit), "c8", "bruno", "test", allowUncovered};
}

prepared_change prepareValid(const configuration &current, const change_proposal &proposal)
{
    const auto result = prepareChange(current, proposal);
    if (const auto *problems = std::get_if<change_problems>(&result))
        CPPUNIT_FAIL(problems->front().field + ": " + problems->front().reason);
    return std::get<prepared_change>(result);
}

void assertRefused(const configuration &current, const change_proposal &proposal,
                   const std::string &field, const std::string &reason)
{
    const auto result = prepareChange(current, proposal);
    CPPUNIT_ASSERT(std::holds_alternative<change_problems>(result));
    const auto &first = std::get<change_problems>(result).front();
    CPPUNIT_ASSERT_EQUAL(field, first.field);
    CPPUNIT_ASSERT_MESSAGE(first.reason, first.reason.find(reason) != std::string::npos);
}

departure_edit departure(const char *server, const char *time)
{
    return {{server}, parseWallTime(time).value()};
}

} // namespace

class change_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(change_test);
    CPPUNIT_TEST(statesAuthorAndRevision);
    CPPUNIT_TEST(appliesEachEdit);
    CPPUNIT_TEST(namesFieldsByIds);
    CPPUNIT_TEST(asksPermissionForNewGapsOnly);
    CPPUNIT_TEST_SUITE_END();

    const configuration m_current = parseValid(smallDocument());

public:
    /// Guards against accepted changes that nobody can be asked about.
    void statesAuthorAndRevision()
    {
        const auto change =
            prepareValid(m_current, propose(departure("s1", "2027-05-01T00:00:00Z")));
        const auto &next = *change.next.document;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, next.revision);
        CPPUNIT_ASSERT(next.changeId == "c8" && next.changedBy == "bruno" && next.reason == "test");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.differences.size());
        auto silent = propose(departure("s1", "2027-05-01T00:00:00Z"));
        silent.reason = "";
        assertRefused(m_current, silent, "/reason", "no fewer than 1");
    }

    /// Guards against edits that change something else than the operator asked for.
    void appliesEachEdit()
    {
        auto copy = m_current.services[0];
        copy.id = {"attic"};
        const auto created =
            *prepareValid(m_current, propose(create_service_edit{copy})).next.document;
        CPPUNIT_ASSERT(created.services.front() == copy && created.services.size() == 2);
        assertRefused(created, propose(create_service_edit{copy}), "/services/attic/id", "already");

        copy.policy.deadline = std::chrono::milliseconds(77);
        const auto changed =
            *prepareValid(created, propose(change_service_edit{copy})).next.document;
        CPPUNIT_ASSERT(*changed.findService({"attic"}) == copy);
        const auto policy =
            *prepareValid(changed, propose(policy_edit{{"attic"}, {}})).next.document;
        CPPUNIT_ASSERT(policy.findService({"attic"})->policy == service_policy{});
        const auto removed =
            *prepareValid(changed, propose(remove_service_edit{{"attic"}})).next.document;
        CPPUNIT_ASSERT(removed.services == m_current.services);
        const auto time = parseWallTime("2027-07-01T00:00:00Z").value();
        CPPUNIT_ASSERT(
            prepareValid(m_current, propose(shutdown_edit{time})).next.document->shutdownAt
            == time);
        CPPUNIT_ASSERT(prepareValid({}, propose(document_edit{m_current})).next.document->revision
                       == 1);
    }

    /// Guards against problems that a form cannot put beside the field that was filled in.
    void namesFieldsByIds()
    {
        auto policy = m_current.services[0].policy;
        policy.wantedCoverage = 2;
        assertRefused(m_current, propose(policy_edit{{"desk"}, policy}),
                      "/services/desk/policy/wanted_coverage", "less than or equal to 1");
        assertRefused(m_current, propose(policy_edit{{"none"}, policy}), "/services/none",
                      "no service");
        assertRefused(m_current, propose(departure("s9", "2027-05-01T00:00:00Z")),
                      "/backend_servers/s9", "no backend server");
        assertRefused(m_current, propose(departure("s2", "2028-05-01T00:00:00Z")),
                      "/backend_servers/s2/leaves_at", "after the shutdown");
        assertRefused(m_current, propose(departure_edit{{"s1"}, {}}), "", "nothing differs");
    }

    /// Guards against one permission that silently covers all later departures, and against
    /// permitted gaps that block every later change.
    void asksPermissionForNewGapsOnly()
    {
        const auto first =
            *prepareValid(m_current, propose(departure("s1", "2027-05-01T00:00:00Z")))
                 .next.document;
        const auto second = propose(departure("s2", "2027-06-01T00:00:00Z"));
        assertRefused(first, second, "/services/desk/partitionings/1/shards/p1/replicas",
                      "no replica from 2027-06-01T00:00:00Z");
        const auto gap = *prepareValid(first, propose(second.edit, true)).next.document;
        CPPUNIT_ASSERT(gap.allowUncovered);

        const auto other = *prepareValid(gap, propose(policy_edit{{"desk"}, {}})).next.document;
        CPPUNIT_ASSERT(other.allowUncovered);
        assertRefused(gap, propose(departure("s2", "2027-05-20T00:00:00Z")),
                      "/services/desk/partitionings/1/shards/p1/replicas", "2027-05-20");
        assertRefused(gap, propose(departure("s3", "2027-05-01T00:00:00Z")),
                      "/services/desk/partitionings/1/shards/p1/replicas", "");
        const auto closed = *prepareValid(gap, propose(departure_edit{{"s2"}, {}})).next.document;
        CPPUNIT_ASSERT(!closed.allowUncovered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_test);

} // namespace waxwing
