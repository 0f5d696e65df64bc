#include "query/query_reducer.h"

#include "query/query_refusal.h"
#include "query/query_state.h"
#include "query/search_ending.h"
#include "query/search_forwarding.h"
#include "query/search_progress.h"
#include "query/search_trace.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Refuses a search that has not been started.
void refuseBeforeStart(reduce_context &context, request_id id, const refusal &reason)
{
    context.emit(count_metric{"searches_refused_total", 1});
    context.emit(answer_search{id, reason});
}

/// Returns the time left for collecting replies. Zero or negative if there is none.
std::chrono::milliseconds timeLeft(const search_request &request, const service_policy &policy,
                                   const query_settings &settings)
{
    auto left = policy.deadline;
    if (request.timeout.count() > 0)
        left = std::min(left, request.timeout);
    return left - settings.mergeTime;
}

} // namespace

/// Adds the look-up, admission and creation of searches to their shared state.
struct query_reducer::state : query_state
{
    state(query_settings initial, admission_settings limits)
        : query_state{initial, admission_control(limits), {}, {}, {}, {}, {}, {}, {}, {}, {}}
    { }

    /// Returns the search, or null if it is not in progress.
    running_search *find(std::uint64_t request)
    {
        const auto found = searches.find(request);
        return found == searches.end() ? nullptr : found->second.get();
    }

    /// Returns a refusal if the search must not be started. Otherwise admission control has
    /// admitted it.
    std::optional<refusal> findRefusal(const reduce_context &context,
                                       const query_environment &environment,
                                       const search_request &request);
    /// Adds a search in progress for an admitted request.
    running_search &createSearch(reduce_context &context, const query_environment &environment,
                                 const search_received &received);
};

std::optional<refusal> query_reducer::state::findRefusal(const reduce_context &context,
                                                         const query_environment &environment,
                                                         const search_request &request)
{
    if (environment.stopping)
        return query_refusal::notServing("draining", settings.retryAfter);
    if (environment.document == nullptr)
        return query_refusal::notServing("starting", settings.retryAfter);
    const service *target = environment.document->findService(request.service);
    if (target == nullptr)
        return query_refusal::unknownService();
    const auto fingerprint = requestFingerprint(request.service, request.query);
    const auto listed = environment.quarantine.listedFor(fingerprint, context.now);
    if (listed.has_value())
        return query_refusal::quarantined(execution_state::NotRun, *listed);
    const auto left = timeLeft(request, target->policy, settings);
    if (left.count() <= 0)
        return query_refusal::deadlineExceeded(execution_state::NotRun, settings.retryAfter);
    const auto refused = admission.admit(request.service, request.caller, left);
    if (refused.has_value())
        return query_refusal::overloaded(refused->callerOverShare, refused->retryAfter);
    return std::nullopt;
}

running_search &query_reducer::state::createSearch(reduce_context &context,
                                                   const query_environment &environment,
                                                   const search_received &received)
{
    auto search = std::make_unique<running_search>();
    search->id = received.id;
    search->request = received.request;
    search->started = context.now;
    search->document = environment.document;
    search->target = environment.document->findService(received.request.service);
    search->deadline = context.now + timeLeft(received.request, search->target->policy, settings);
    search->trace = search_trace::childOf(received.request.trace, context.random);
    std::size_t shards = 0;
    for (const partitioning &parts : search->target->partitionings)
        shards = std::max(shards, parts.shards.size());
    search->requestState =
        &serviceStatistics.try_emplace(search->target->id, settings, shards).first->second;
    search->fingerprint = requestFingerprint(search->target->id, received.request.query);
    return *(searches[received.id.value] = std::move(search));
}

query_reducer::query_reducer(query_settings settings, admission_settings admission)
    : m_state(std::make_unique<state>(settings, admission))
{ }

query_reducer::query_reducer(query_reducer &&) noexcept = default;
query_reducer &query_reducer::operator=(query_reducer &&) noexcept = default;
query_reducer::~query_reducer() = default;

void query_reducer::onSearch(reduce_context &context, query_environment &environment,
                             const search_received &received)
{
    context.emit(count_metric{"searches_total", 1});
    if (const auto reason = m_state->findRefusal(context, environment, received.request)) {
        refuseBeforeStart(context, received.id, *reason);
        return;
    }
    running_search &search = m_state->createSearch(context, environment, received);
    search_context work{context, environment, *m_state};
    const auto &holders = environment.holders(received.request.service);
    const bool isHolder =
        std::find(holders.begin(), holders.end(), environment.self.host) != holders.end();
    // A forwarded search is always run here, even if this host does not consider itself a holder:
    // the hosts may disagree on the holders.
    if (isHolder || received.forwarded)
        search_progress::start(work, search);
    else if (search_forwarding::start(work, search))
        search_progress::setTimer(work, search);
}

void query_reducer::onCallerGone(reduce_context &context, query_environment &environment,
                                 request_id id)
{
    running_search *search = m_state->find(id.value);
    if (search == nullptr)
        return;
    search_context work{context, environment, *m_state};
    search_ending::cancel(work, *search);
}

bool query_reducer::onLeafSearch(reduce_context &context, query_environment &environment,
                                 const leaf_search_finished &finished)
{
    search_context work{context, environment, *m_state};
    const auto abandonedEntry = m_state->abandoned.find(finished.attempt.value);
    if (abandonedEntry != m_state->abandoned.end()) {
        const abandoned_attempt abandoned = std::move(abandonedEntry->second);
        m_state->abandoned.erase(abandonedEntry);
        search_progress::onAbandonedAttemptEnd(work, abandoned, finished.outcome);
        if (!m_state->queue.isEmpty())
            search_progress::sendQueuedShards(work, {abandoned.service, abandoned.shard});
        return true;
    }
    const auto owner = m_state->attempts.find(finished.attempt.value);
    if (owner == m_state->attempts.end())
        return false;
    running_search *search = m_state->find(owner->second.request);
    if (search == nullptr || search->forward.has_value())
        return false;
    const std::size_t index = owner->second.shard;
    m_state->attempts.erase(owner);
    std::optional<shard_queue::key> freed;
    if (!m_state->queue.isEmpty())
        freed.emplace(search->target->id, search->parts->shards[index].id);
    search_progress::onAttemptEnd(work, *search, index, finished);
    if (freed.has_value())
        search_progress::sendQueuedShards(work, *freed);
    return true;
}

bool query_reducer::onForwarded(reduce_context &context, query_environment &environment,
                                const forwarded_search_finished &finished)
{
    const auto owner = m_state->attempts.find(finished.attempt.value);
    if (owner == m_state->attempts.end())
        return false;
    running_search *search = m_state->find(owner->second.request);
    if (search == nullptr || !search->forward.has_value())
        return false;
    m_state->attempts.erase(owner);
    search_context work{context, environment, *m_state};
    if (search_forwarding::onFinished(work, *search, finished))
        search_progress::setTimer(work, *search);
    return true;
}

void query_reducer::onTick(reduce_context &context, query_environment &environment)
{
    search_context work{context, environment, *m_state};
    std::vector<std::pair<time_point, std::uint64_t>> due;
    for (const auto &[at, request] : m_state->timers) {
        if (at > context.now)
            break;
        due.emplace_back(m_state->find(request)->deadline, request);
    }
    // Free replicas are assigned to the searches with the earliest deadlines first.
    std::sort(due.begin(), due.end());
    for (const auto &[deadline, request] : due) {
        running_search *search = m_state->find(request);
        if (search != nullptr)
            search_progress::onDue(work, *search);
    }
}

std::optional<time_point> query_reducer::nextDeadline() const
{
    if (m_state->timers.empty())
        return std::nullopt;
    return m_state->timers.begin()->first;
}

std::size_t query_reducer::inProgress() const
{
    return m_state->searches.size();
}

} // namespace waxwing
