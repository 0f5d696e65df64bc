#include "query/search_ending.h"

#include "query/fan_out.h"
#include "query/query_refusal.h"
#include "query/search_trace.h"

#include <string>

namespace waxwing {

void search_ending::answerOrRefuse(search_context &work, running_search &search)
{
    reduce_context &context = work.context;
    if (search.merge.has_value() && search.merge->repliedShards() != 0) {
        search_answer answer = search.merge->finish(search.target->id, search.at);
        if (!answer.coverage.isComplete())
            context.emit(count_metric{"searches_partial_total", 1});
        sendOutcome(work, search, std::move(answer));
        return;
    }
    const auto retryAfter = work.state.settings.retryAfter;
    const auto execution = abandonAttempts(work, search);
    if (context.now >= search.deadline)
        refuse(work, search, query_refusal::deadlineExceeded(execution, retryAfter));
    else
        refuse(work, search, query_refusal::unavailable(execution, retryAfter));
}

void search_ending::sendOutcome(search_context &work, running_search &search,
                                const search_outcome &outcome)
{
    reduce_context &context = work.context;
    const bool answered = std::holds_alternative<search_answer>(outcome);
    if (answered) {
        const std::chrono::duration<double> elapsed = context.now - search.started;
        context.emit(sample_metric{"search_latency_seconds", elapsed.count()});
    } else {
        context.emit(count_metric{"searches_refused_total", 1});
    }
    context.emit(answer_search{search.id, outcome});
    remove(work, search, answered);
}

void search_ending::refuse(search_context &work, running_search &search, const refusal &reason)
{
    refusal corrected = reason;
    if (abandonAttempts(work, search) == execution_state::OutcomeUnknown)
        corrected.execution = execution_state::OutcomeUnknown;
    sendOutcome(work, search, corrected);
}

execution_state search_ending::abandonAttempts(search_context &work, running_search &search)
{
    fan_out(work, search).abandonAll();
    if (search.forward.has_value())
        search.mayHaveRun =
            search.mayHaveRun || search.forward->mayHaveRun || !search.forward->attempts.empty();
    return search.mayHaveRun ? execution_state::OutcomeUnknown : execution_state::NotRun;
}

void search_ending::cancel(search_context &work, running_search &search)
{
    work.context.emit(count_metric{"searches_abandoned_total", 1});
    remove(work, search, false);
}

void search_ending::remove(search_context &work, running_search &search, bool answered)
{
    fan_out(work, search).abandonAll();
    if (search.forward.has_value())
        for (const attempt_id &attempt : search.forward->attempts)
            work.state.attempts.erase(attempt.value);
    if (search.timer.has_value())
        work.state.timers.erase({*search.timer, search.id.value});
    search_trace::record(work.context, "search", search.trace, search.request.trace.span,
                         search.started, {{"service", search.request.service.value}});
    std::optional<duration> elapsed;
    if (answered)
        elapsed = work.context.now - search.started;
    work.state.admission.release(search.request.service, search.request.caller, elapsed);
    work.state.searches.erase(search.id.value);
}

} // namespace waxwing
