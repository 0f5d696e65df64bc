#include "query/search_forwarding.h"

#include "query/query_refusal.h"
#include "query/search_ending.h"
#include "query/search_trace.h"

#include <algorithm>

namespace waxwing {

bool search_forwarding::start(search_context &work, running_search &search)
{
    search.forward.emplace();
    if (sendNext(work, search)) {
        search.forward->hedgeAt = work.context.now + (search.deadline - work.context.now) / 2;
        return true;
    }
    search_ending::refuse(
        work, search,
        query_refusal::unavailable(execution_state::NotRun, work.state.settings.retryAfter));
    return false;
}

bool search_forwarding::onFinished(search_context &work, running_search &search,
                                   const forwarded_search_finished &finished)
{
    forward_progress &forward = *search.forward;
    std::erase(forward.attempts, finished.attempt);
    if (const auto *failure = std::get_if<forward_failure>(&finished.outcome)) {
        forward.mayHaveRun = forward.mayHaveRun || failure->mayHaveBeenReceived;
    } else {
        const auto &outcome = std::get<search_outcome>(finished.outcome);
        if (isUsable(search, outcome)) {
            search_ending::sendOutcome(work, search, outcome);
            return false;
        }
        const auto *reason = std::get_if<refusal>(&outcome);
        forward.mayHaveRun = forward.mayHaveRun || reason == nullptr
            || reason->execution == execution_state::OutcomeUnknown;
    }
    if (sendNext(work, search) || !forward.attempts.empty())
        return true;
    search_ending::answerOrRefuse(work, search);
    return false;
}

void search_forwarding::onDue(search_context &work, running_search &search)
{
    forward_progress &forward = *search.forward;
    if (!forward.hedgeAt.has_value() || *forward.hedgeAt > work.context.now)
        return;
    forward.hedgeAt.reset();
    if (sendNext(work, search))
        work.context.emit(count_metric{"forward_hedges_total", 1});
}

const member *search_forwarding::chooseHolder(search_context &work, const running_search &search)
{
    const query_environment &environment = work.environment;
    std::vector<const member *> sameZone;
    std::vector<const member *> otherZones;
    for (const host_id &host : environment.holders(search.request.service)) {
        const auto candidate = environment.members.find(host);
        const auto &tried = search.forward->tried;
        if (candidate == environment.members.end() || host == environment.self.host
            || std::find(tried.begin(), tried.end(), host) != tried.end())
            continue;
        const member_state state = candidate->second.state;
        if (state != member_state::Alive && state != member_state::Suspect)
            continue;
        auto &list = candidate->second.zone == environment.self.zone ? sameZone : otherZones;
        list.push_back(&candidate->second);
    }
    const auto &list = sameZone.empty() ? otherZones : sameZone;
    if (list.empty())
        return nullptr;
    return list[work.context.random(static_cast<std::uint32_t>(list.size()))];
}

bool search_forwarding::sendNext(search_context &work, running_search &search)
{
    reduce_context &context = work.context;
    const auto left = std::chrono::floor<std::chrono::milliseconds>(search.deadline - context.now)
        - work.state.settings.hopTime;
    const member *holder = left.count() > 0 ? chooseHolder(work, search) : nullptr;
    if (holder == nullptr)
        return false;
    forward_search forward;
    forward.attempt = context.nextAttempt();
    forward.peer = holder->peer;
    forward.request = search.request;
    forward.request.timeout = left;
    forward.request.trace = search_trace::childOf(search.trace, context.random);
    work.state.attempts[forward.attempt.value] = {search.id.value, 0};
    search.forward->attempts.push_back(forward.attempt);
    search.forward->tried.push_back(holder->host);
    context.emit(count_metric{"searches_forwarded_total", 1});
    context.emit(std::move(forward));
    return true;
}

bool search_forwarding::isUsable(const running_search &search, const search_outcome &outcome)
{
    if (const auto *answer = std::get_if<search_answer>(&outcome))
        return answer->service == search.request.service
            && answer->hits.size() <= search.request.limit
            && (!search.request.cursor.has_value() || search.request.cursor->at == answer->at);
    // Another holder may be able to serve the search if this one is stopping, starting or cannot
    // reach any data. All other refusals apply to every holder.
    const auto &reason = std::get<refusal>(outcome);
    return reason.code != "draining" && reason.code != "starting"
        && !(reason.code == "unavailable" && reason.execution == execution_state::NotRun);
}

} // namespace waxwing
