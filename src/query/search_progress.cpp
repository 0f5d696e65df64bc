#include "query/search_progress.h"

#include "query/query_refusal.h"
#include "query/search_ending.h"
#include "query/search_forwarding.h"
#include "query/search_trace.h"

#include <algorithm>

namespace waxwing {

void search_progress::start(search_context &work, running_search &search)
{
    std::optional<snapshot> at;
    if (search.request.cursor.has_value()) {
        at = search.request.cursor->at;
    } else {
        at = work.state.selection.choose(search.document, *search.target, work.environment.backends,
                                         work.context.now, work.context.wall);
        // After a start no health reports have arrived. Version 0 is refused, and the refusal
        // lists the held snapshots.
        if (!at.has_value() && !search.target->partitionings.empty())
            at = snapshot{search.target->partitionings.back().generation, 0};
    }
    const partitioning *parts =
        at.has_value() ? findPartitioning(search, at->partitioning) : nullptr;
    if (search.request.cursor.has_value() && (parts == nullptr || isCursorExpired(work, search))) {
        search_ending::refuse(work, search, query_refusal::snapshotGone());
        return;
    }
    if (parts == nullptr || parts->shards.empty()) {
        search_ending::answerOrRefuse(work, search);
        return;
    }
    fan_out(work, search).begin(*parts, *at);
    completeOrSchedule(work, search);
}

void search_progress::onAttemptEnd(search_context &work, running_search &search, std::size_t index,
                                   const leaf_search_finished &finished)
{
    auto &attempts = search.shards[index].attempts;
    const auto found = std::find_if(attempts.begin(), attempts.end(), [&](const auto &attempt) {
        return attempt.id == finished.attempt;
    });
    const leaf_attempt attempt = std::move(*found);
    attempts.erase(found);
    releaseSuspect(work, attempt, search.fingerprint);
    search_trace::record(work.context, "leaf_search", attempt.trace, search.trace.span,
                         attempt.sent, {{"server", attempt.server.value}});
    fan_out requests(work, search);
    const auto *answer = std::get_if<leaf_answer>(&finished.outcome);
    if (answer != nullptr && isReplyTo(*answer, requests.leafRequest(index))) {
        requests.onAnswer(index, attempt, *answer);
    } else {
        const auto *failure = std::get_if<leaf_failure>(&finished.outcome);
        const leaf_failure mismatch{leaf_error::Malformed, "reply to another request", {}, {}};
        if (failure == nullptr)
            work.context.emit(count_metric{"leaf_mismatches_total", 1});
        const failure_effect consequence =
            requests.onFailure(index, attempt, failure != nullptr ? *failure : mismatch);
        if (!onFailureEffect(work, search, index, consequence))
            return;
    }
    completeOrSchedule(work, search);
}

void search_progress::onAbandonedAttemptEnd(search_context &work,
                                            const abandoned_attempt &abandoned,
                                            const leaf_outcome &outcome)
{
    const leaf_attempt &attempt = abandoned.attempt;
    const time_point now = work.context.now;
    releaseSuspect(work, attempt, abandoned.fingerprint);
    const auto *failure = std::get_if<leaf_failure>(&outcome);
    const bool lost = failure != nullptr && failure->error == leaf_error::ConnectionLost;
    if (!lost) {
        work.environment.backends.onAbandoned(attempt.server, now);
        return;
    }
    work.environment.backends.onFailure(attempt.server, *failure, now);
    work.environment.quarantine.onConnectionLost(abandoned.service, abandoned.fingerprint,
                                                 {attempt.server}, attempt.sent, now);
}

void search_progress::sendQueuedShards(search_context &work, const shard_queue::key &shard)
{
    while (const auto next = work.state.queue.first(shard)) {
        running_search &search = *work.state.searches.at(next->request);
        if (!fan_out(work, search).sendQueued(next->index))
            return;
        completeOrSchedule(work, search);
    }
}

void search_progress::onDue(search_context &work, running_search &search)
{
    if (work.context.now >= search.deadline) {
        search_ending::answerOrRefuse(work, search);
        return;
    }
    if (search.forward.has_value()) {
        search_forwarding::onDue(work, search);
        setTimer(work, search);
        return;
    }
    if (isEarlyAnswerDue(work, search)) {
        search_ending::answerOrRefuse(work, search);
        return;
    }
    if (refuseIfQuarantined(work, search) || !onCanaryDue(work, search))
        return;
    fan_out requests(work, search);
    if (search.nextSendAt.has_value() && *search.nextSendAt <= work.context.now)
        requests.sendPendingShards();
    requests.sendDueHedges();
    completeOrSchedule(work, search);
}

bool search_progress::refuseIfQuarantined(search_context &work, running_search &search)
{
    if (!search.canary.has_value())
        return false;
    const auto listed = work.environment.quarantine.listedFor(search.fingerprint, work.context.now);
    if (!listed.has_value())
        return false;
    search_ending::refuse(work, search,
                          query_refusal::quarantined(execution_state::NotRun, *listed));
    return true;
}

bool search_progress::onCanaryDue(search_context &work, running_search &search)
{
    if (!search.canary.has_value() || search.canary->waitDeadline > work.context.now)
        return true;
    if (work.environment.quarantine.isSuspect(search.fingerprint, work.context.now)) {
        search_ending::refuse(work, search,
                              query_refusal::suspected(work.state.settings.retryAfter));
        return false;
    }
    fan_out(work, search).releaseCanary();
    return true;
}

void search_progress::completeOrSchedule(search_context &work, running_search &search)
{
    const bool complete = search.unfinishedShards == 0 || work.context.now >= search.deadline;
    if (complete || isEarlyAnswerDue(work, search))
        search_ending::answerOrRefuse(work, search);
    else
        setTimer(work, search);
}

const partitioning *search_progress::findPartitioning(const running_search &search,
                                                      std::uint32_t generation)
{
    for (const partitioning &parts : search.target->partitionings)
        if (parts.generation == generation)
            return &parts;
    return nullptr;
}

bool search_progress::isCursorExpired(const search_context &work, const running_search &search)
{
    const snapshot &at = search.request.cursor->at;
    const partitioning *parts = findPartitioning(search, at.partitioning);
    return std::any_of(parts->shards.begin(), parts->shards.end(), [&](const shard &part) {
        return isSnapshotGone(search.target->id, part, at, work.environment.backends,
                              work.context.wall);
    });
}

bool search_progress::restart(search_context &work, running_search &search, std::size_t index)
{
    const auto medianLatency =
        search.requestState->medianLatency.quantile().value_or(work.state.settings.mergeTime);
    if (search.restarted || work.context.now + medianLatency >= search.deadline)
        return false;
    const auto at = work.state.selection.chooseAfterNotHeld(
        search.document, *search.target, work.environment.backends, search.parts->shards[index],
        search.at, work.context.now, work.context.wall);
    const partitioning *parts =
        at.has_value() ? findPartitioning(search, at->partitioning) : nullptr;
    if (parts == nullptr || *at == search.at)
        return false;
    search.restarted = true;
    work.context.emit(count_metric{"restarts_total", 1});
    fan_out requests(work, search);
    requests.abandonAll();
    requests.begin(*parts, *at);
    return true;
}

bool search_progress::onFailureEffect(search_context &work, running_search &search,
                                      std::size_t index, failure_effect consequence)
{
    const auto retryAfter = work.state.settings.retryAfter;
    switch (consequence) {
    case failure_effect::None:
        return true;
    case failure_effect::Suspected:
        search_ending::refuse(work, search, query_refusal::suspected(retryAfter));
        return false;
    case failure_effect::SnapshotMissing:
        break;
    }
    if (search.request.cursor.has_value()) {
        if (isCursorExpired(work, search)) {
            search_ending::refuse(work, search, query_refusal::snapshotGone());
            return false;
        }
    } else if (restart(work, search, index)) {
        return true;
    }
    fan_out(work, search).failShard(index);
    return true;
}

bool search_progress::isEarlyAnswerDue(const search_context &work, running_search &search)
{
    const service_policy &policy = search.target->policy;
    if (policy.prefer != answer_preference::Early || search.canary.has_value()
        || search.merge->repliedShards() == 0
        || search.merge->coverageRatio() < policy.wantedCoverage)
        return false;
    // The latest hedge gets the median latency for its reply before the remaining shards are
    // given up.
    search.earlyAnswerAt =
        search.lastHedgeAt + search.requestState->medianLatency.quantile().value_or(duration(0));
    return work.context.now >= *search.earlyAnswerAt;
}

void search_progress::releaseSuspect(search_context &work, const leaf_attempt &attempt,
                                     std::uint64_t fingerprint)
{
    if (!attempt.suspect)
        return;
    const auto server = work.state.suspectAttemptsByServer.find(attempt.server);
    if (server != work.state.suspectAttemptsByServer.end() && --server->second == 0)
        work.state.suspectAttemptsByServer.erase(server);
    const auto request = work.state.suspectAttemptsByRequest.find(fingerprint);
    if (request != work.state.suspectAttemptsByRequest.end() && --request->second == 0)
        work.state.suspectAttemptsByRequest.erase(request);
}

void search_progress::setTimer(search_context &work, running_search &search)
{
    time_point due = search.deadline;
    for (const auto &at : {search.nextSendAt, search.nextHedgeAt, search.earlyAnswerAt})
        if (at.has_value())
            due = std::min(due, *at);
    if (search.canary.has_value())
        due = std::min(due, search.canary->waitDeadline);
    if (search.forward.has_value() && search.forward->hedgeAt.has_value())
        due = std::min(due, *search.forward->hedgeAt);
    if (search.timer == due)
        return;
    auto &timers = work.state.timers;
    if (search.timer.has_value())
        timers.erase({*search.timer, search.id.value});
    timers.emplace(due, search.id.value);
    search.timer = due;
}

} // namespace waxwing
