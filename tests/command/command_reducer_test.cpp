#include "command/claim_session.h"
#include "command_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace waxwing {

class command_reducer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_reducer_test);
    CPPUNIT_TEST(runsOnceAndReplays);
    CPPUNIT_TEST(refusesImmediatelyWhilePlatformIsUnreachable);
    CPPUNIT_TEST(sendsNothingAfterPauseBeyondDeadline);
    CPPUNIT_TEST(recordsLateResult);
    CPPUNIT_TEST(isInProgressUntilOutcomeIsRecorded);
    CPPUNIT_TEST(refusedCommandCanBeRetried);
    CPPUNIT_TEST(lostResponsesDoNotBlockKey);
    CPPUNIT_TEST(keyReusedForAnotherRequestIsRefused);
    CPPUNIT_TEST(forwardsToHolder);
    CPPUNIT_TEST(parsesFormattedClaimRecord);
    CPPUNIT_TEST_SUITE_END();

    static refusal refusalOf(const command_world &world, std::uint64_t id)
    {
        CPPUNIT_ASSERT(world.tries.at(id).outcome.has_value());
        const auto *refused = std::get_if<refusal>(&*world.tries.at(id).outcome);
        CPPUNIT_ASSERT(refused != nullptr);
        return *refused;
    }

    static command_answer answerOf(const command_world &world, std::uint64_t id)
    {
        CPPUNIT_ASSERT(world.tries.at(id).outcome.has_value());
        const auto *answer = std::get_if<command_answer>(&*world.tries.at(id).outcome);
        CPPUNIT_ASSERT(answer != nullptr);
        return *answer;
    }

public:
    /// Guards against a repeated request that runs the command again, and against more than two
    /// platform writes per command.
    void runsOnceAndReplays()
    {
        command_world world(1, {});
        const auto first = world.send("key", 0);
        world.net.runFor(std::chrono::seconds(1));
        const auto second = world.send("key", 1);
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT(!answerOf(world, first).replayed);
        CPPUNIT_ASSERT(answerOf(world, second).replayed);
        CPPUNIT_ASSERT_EQUAL(answerOf(world, first).result, answerOf(world, second).result);
        CPPUNIT_ASSERT_EQUAL(2U, world.platformWrites);
    }

    /// Guards against callers that wait until their deadline while the platform is unreachable.
    void refusesImmediatelyWhilePlatformIsUnreachable()
    {
        command_world world(2, {});
        world.faults.platformDown = 100;
        const auto id = world.send("key", 0);
        world.net.runFor(std::chrono::milliseconds(60));
        CPPUNIT_ASSERT(refusalOf(world, id).execution == execution_state::NotRun);
        CPPUNIT_ASSERT(refusalOf(world, id).retryAfter.count() > 0);
        CPPUNIT_ASSERT_EQUAL(0, world.executions("key"));
    }

    /// Guards against a paused host that sends a command after its caller was told to retry.
    void sendsNothingAfterPauseBeyondDeadline()
    {
        command_world world(3, {});
        const auto id = world.send("key", 0);
        world.net.runFor(std::chrono::milliseconds(3));
        world.net.pause("h0", std::chrono::seconds(5));
        world.net.runFor(std::chrono::seconds(6));
        CPPUNIT_ASSERT(refusalOf(world, id).execution == execution_state::NotRun);
        CPPUNIT_ASSERT_EQUAL(0, world.executions("key"));
        const auto later = world.send("key", 1);
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT(!answerOf(world, later).replayed);
    }

    /// Guards against a result that is lost because it arrived after the caller's deadline.
    void recordsLateResult()
    {
        command_world world(4, {});
        command_received received;
        received.id = request_id{++world.lastTry};
        received.request.service = service_id{"s"};
        received.request.key = "key";
        received.request.document = "key";
        received.request.timeout = std::chrono::milliseconds(2000);
        received.request.trace.traceLow = received.id.value;
        world.tries[received.id.value].key = "key";
        const auto host = world.hosts[0];
        world.run(host, 0, [&](reduce_context &c, command_environment &environment) {
            host->commands.onCommand(c, environment, received);
        });
        // The backend server's reply is handled only when the pause ends, after the deadline.
        while (host->lastAttempt < 2)
            world.net.runFor(std::chrono::milliseconds(1));
        world.net.pause("h0", std::chrono::seconds(4));
        world.net.runFor(std::chrono::seconds(6));
        CPPUNIT_ASSERT_EQUAL(1, world.executions("key"));
        const auto later = world.send("key", 1);
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT(answerOf(world, later).replayed);
    }

    /// Guards against a host that stops between the answer and the record, which leaves the key
    /// "outcome unknown" although the caller was answered.
    void isInProgressUntilOutcomeIsRecorded()
    {
        command_world world(8, {});
        const auto id = world.send("key", 0);
        while (!world.tries.at(id).outcome.has_value())
            world.net.runFor(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(1U, world.platformWrites);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.hosts[0]->commands.inProgress());
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(2U, world.platformWrites);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.hosts[0]->commands.inProgress());
    }

    /// Guards against a key that is blocked permanently by an attempt that ran nothing.
    void refusedCommandCanBeRetried()
    {
        command_world world(5, {});
        world.hosts[0]->backends.setLeaving(server_id{"b"}, true);
        const auto refused = world.send("key", 0);
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT(refusalOf(world, refused).execution == execution_state::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.objects.size());
        const auto again = world.send("key", 1);
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT(!answerOf(world, again).replayed);
        CPPUNIT_ASSERT_EQUAL(1, world.executions("key"));
    }

    /// Guards against claims whose owner lost the response to its write and cannot use them.
    void lostResponsesDoNotBlockKey()
    {
        command_world world(6, {});
        world.faults.responseLost = 100;
        const auto refused = world.send("key", 0);
        world.net.runFor(std::chrono::seconds(3));
        CPPUNIT_ASSERT(refusalOf(world, refused).execution == execution_state::NotRun);
        world.faults.responseLost = 0;
        world.net.runFor(std::chrono::minutes(1));
        const auto again = world.send("key", 1);
        world.net.runFor(std::chrono::seconds(1));
        CPPUNIT_ASSERT(!answerOf(world, again).replayed);
    }

    /// Guards against returning the result of one request for another request with the same key.
    void keyReusedForAnotherRequestIsRefused()
    {
        command_request first;
        first.service = service_id{"s"};
        first.key = "key";
        command_request second = first;
        second.payload = "1";
        CPPUNIT_ASSERT_EQUAL(claim_record::name(first), claim_record::name(second));
        claim_record other;
        other.nonce = "other";
        other.request = claim_record::fingerprint(first);
        claim_record ownRecord;
        ownRecord.nonce = "mine";
        ownRecord.request = claim_record::fingerprint(second);
        claim_session session(claim_record::name(second), ownRecord);
        session.acquire();
        const auto step =
            session.onResult({platform_result::status_kind::Conflict, 1, other.format(), {}});
        CPPUNIT_ASSERT(step.kind == claim_step::step_kind::OtherRequest);
    }

    /// Guards against hosts that run commands without connections to the service's backend servers,
    /// and against forwarding loops.
    void forwardsToHolder()
    {
        command_world world(7, {});
        world.holders = holder_assignment::compute(world.document, {world.cluster[1]}, {});
        std::uint64_t lastAttempt = 0;
        effect_list effects;
        reduce_context context{world.net.now(), {}, world.hosts[0]->random, lastAttempt, effects};
        command_environment environment{&world.document, world.hosts[0]->backends, world.holders,
                                        world.hosts[0]->members, false};
        command_received received;
        received.id = request_id{1};
        received.request.service = service_id{"s"};
        world.hosts[0]->commands.onCommand(context, environment, received);
        const auto *forwarded = std::get_if<forward_command>(&effects.at(0));
        CPPUNIT_ASSERT(forwarded != nullptr && forwarded->peer == world.cluster[1].peer);
        const auto attempt = forwarded->attempt;
        received.id = request_id{2};
        received.forwarded = true;
        world.hosts[0]->commands.onCommand(context, environment, received);
        CPPUNIT_ASSERT(std::holds_alternative<call_platform>(effects.at(1)));

        world.hosts[0]->commands.onForwarded(context, {attempt, forward_failure{true, "lost"}});
        const auto &answer = std::get<answer_command>(effects.back());
        CPPUNIT_ASSERT(std::get<refusal>(answer.outcome).execution
                       == execution_state::OutcomeUnknown);
    }

    /// Guards against claims that another host cannot read.
    void parsesFormattedClaimRecord()
    {
        const claim_record done{"h", 7, "n", "r", claim_record::claim_state::Done, "{\"a\":1}"};
        CPPUNIT_ASSERT(claim_record::parse(done.format()) == done);
        CPPUNIT_ASSERT(!claim_record::parse("{}").has_value());
        CPPUNIT_ASSERT(!claim_record::parse("{").has_value());
        CPPUNIT_ASSERT(!claim_record::parse(R"({"nonce":"n","incarnation":1,"state":"x"})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_reducer_test);

} // namespace waxwing
