#include "query/fan_out.h"

#include "query/canary_policy.h"
#include "query/search_trace.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

using status_kind = shard_progress::status_kind;

void setIfEarlier(std::optional<time_point> &earliest, time_point at)
{
    if (!earliest.has_value() || at < *earliest)
        earliest = at;
}

/// Whether the error shows that the server did not execute the request.
bool wasNotExecuted(leaf_error error)
{
    return error == leaf_error::NotConnected || error == leaf_error::Overloaded
        || error == leaf_error::Draining || error == leaf_error::VersionNotHeld;
}

} // namespace

fan_out::fan_out(search_context &work, running_search &search) : m_work(work), m_search(search) { }

void fan_out::begin(const partitioning &parts, const snapshot &at)
{
    for (std::size_t i = 0; i < m_search.shards.size(); ++i)
        dequeueShard(i);
    m_search.parts = &parts;
    m_search.at = at;
    m_search.shards.assign(parts.shards.size(), {});
    m_search.merge.emplace(parts.shards, m_search.request.limit);
    m_search.unfinishedShards = parts.shards.size();
    m_search.nextHedgeAt.reset();
    m_search.earlyAnswerAt.reset();
    canary_policy::begin(m_work, m_search);
    sendPendingShards();
}

void fan_out::sendPendingShards()
{
    m_search.nextSendAt.reset();
    m_shardsSent = 0;
    // The process may have been paused past the deadline.
    if (m_work.context.now >= m_search.deadline)
        return;
    if (m_search.canary.has_value() && m_work.context.now < m_search.canary->notBefore) {
        m_search.nextSendAt = m_search.canary->notBefore;
        return;
    }
    // If the canary shard has no usable replica, it fails and the next shard becomes the canary.
    while (m_search.canary.has_value()) {
        const std::size_t index = m_search.canary->shard;
        if (m_search.shards[index].status == status_kind::Pending)
            sendShard(index);
        if (m_search.shards[index].status != status_kind::Failed)
            break;
        canary_policy::moveToNextShard(m_work, m_search, m_work.context.now);
    }
    if (!m_search.canary.has_value()) {
        for (std::size_t i = 0; i < m_search.shards.size(); ++i)
            if (m_search.shards[i].status == status_kind::Pending)
                sendShard(i);
    }
    creditBudgets();
}

bool fan_out::sendQueued(std::size_t index)
{
    m_shardsSent = 0;
    if (m_search.canary.has_value() && m_search.canary->shard != index)
        dequeueShard(index);
    else
        sendShard(index);
    creditBudgets();
    return !m_search.shards[index].queued;
}

void fan_out::onAnswer(std::size_t index, const leaf_attempt &attempt, const leaf_answer &answer)
{
    const time_point now = m_work.context.now;
    const duration latency = now - attempt.sent;
    backend_pool &backends = m_work.environment.backends;
    backends.onAnswer(attempt.server, latency, now);
    backends.onSnapshotsReported(attempt.server, answer.service, answer.shard, answer.held, now);
    m_work.environment.quarantine.onAnswer(m_search.fingerprint, now);
    m_search.requestState->hedgeLatency.add(latency, now);
    m_search.requestState->medianLatency.add(latency, now);
    m_search.mayHaveRun = true;
    shard_progress &progress = m_search.shards[index];
    if (std::exchange(progress.hasPrepaidAttempt, false))
        m_search.requestState->hedgeTokens.deposit(1, 1);
    progress.status = status_kind::Answered;
    --m_search.unfinishedShards;
    m_search.merge->add(index, answer);
    abandon(index, true);
    if (m_search.canary.has_value())
        releaseCanary();
}

failure_effect fan_out::onFailure(std::size_t index, const leaf_attempt &attempt,
                                  const leaf_failure &failure)
{
    const time_point now = m_work.context.now;
    shard_progress &progress = m_search.shards[index];
    backend_pool &backends = m_work.environment.backends;
    backends.onFailure(attempt.server, failure, now);
    m_search.mayHaveRun = m_search.mayHaveRun || !wasNotExecuted(failure.error);
    const bool notHeld = failure.error == leaf_error::VersionNotHeld;
    if (notHeld)
        backends.onSnapshotsReported(attempt.server, m_search.target->id,
                                     m_search.parts->shards[index].id, failure.held, now);
    if (failure.error == leaf_error::ConnectionLost) {
        m_work.context.emit(count_metric{"leaf_connections_lost_total", 1});
        m_work.environment.quarantine.onConnectionLost(m_search.target->id, m_search.fingerprint,
                                                       {attempt.server}, attempt.sent, now);
    }
    if (needsNextCanary(index, failure.error))
        return tryNextCanary(index, failure.error);
    if (!progress.attempts.empty() || progress.status != status_kind::InProgress)
        return failure_effect::None;
    if (!mayRetryLater(index))
        return onReplicasExhausted(index, notHeld);
    // A `VersionNotHeld` reply is cheap because nothing ran, so its retry is not charged to the
    // budget.
    const bool isPaid = notHeld || std::exchange(progress.hasPrepaidAttempt, false);
    if (!isPaid && !m_search.requestState->retryTokens.tryWithdraw()) {
        failShard(index);
        return failure_effect::None;
    }
    m_work.context.emit(count_metric{"retries_total", 1});
    progress.status = status_kind::Pending;
    progress.hedgesConsidered = 0;
    sendPendingShards();
    return failure_effect::None;
}

bool fan_out::needsNextCanary(std::size_t index, leaf_error error) const
{
    if (m_work.environment.quarantine.isKnownGood(m_search.fingerprint))
        return false;
    if (error == leaf_error::ConnectionLost)
        return true;
    // The server may be unreachable because a copy of the request from another host crashed it.
    return error == leaf_error::NotConnected && m_search.canary.has_value()
        && m_search.canary->shard == index;
}

failure_effect fan_out::tryNextCanary(std::size_t index, leaf_error error)
{
    // Pending shards wait for the new canary. It is a different shard, so that one request cannot
    // crash all replicas of a shard.
    shard_progress &progress = m_search.shards[index];
    // A server that refused the connection executed nothing, so at worst its shard fails.
    const bool isRefused = error == leaf_error::NotConnected;
    if (progress.attempts.empty() && progress.status == status_kind::InProgress) {
        progress.status = status_kind::Pending;
        progress.hedgesConsidered = 0;
        if (m_search.requestState->retryTokens.tryWithdraw())
            m_work.context.emit(count_metric{"retries_total", 1});
        else if (isRefused)
            markFailed(index);
        else
            return failure_effect::Suspected;
    }
    if (!m_search.canary.has_value() || m_search.canary->shard == index) {
        if (!canary_policy::moveToNextShard(m_work, m_search, m_work.context.now + canaryPause())
            && !isRefused)
            return failure_effect::Suspected;
    }
    sendPendingShards();
    return failure_effect::None;
}

duration fan_out::canaryPause() const
{
    const query_settings &settings = m_work.state.settings;
    const std::chrono::duration<double> left = m_search.deadline - m_work.context.now;
    return std::min<duration>(
        settings.canaryPause,
        std::chrono::duration_cast<duration>(left * settings.canaryPauseShare));
}

failure_effect fan_out::onReplicasExhausted(std::size_t index, bool notHeld)
{
    const shard &part = m_search.parts->shards[index];
    const bool gone = notHeld
        || isSnapshotGone(m_search.target->id, part, m_search.at, m_work.environment.backends,
                          m_work.context.wall);
    if (gone)
        return failure_effect::SnapshotMissing;
    failShard(index);
    return failure_effect::None;
}

void fan_out::sendDueHedges()
{
    const time_point now = m_work.context.now;
    if (!m_search.nextHedgeAt.has_value() || *m_search.nextHedgeAt > now)
        return;
    m_search.nextHedgeAt.reset();
    for (std::size_t i = 0; i < m_search.shards.size(); ++i) {
        const shard_progress &progress = m_search.shards[i];
        if (progress.status != status_kind::InProgress
            || progress.hedgesConsidered >= m_work.state.settings.hedgesPerShard)
            continue;
        if (progress.hedgeAt <= now)
            hedge(i);
        if (progress.hedgeAt > now)
            setIfEarlier(m_search.nextHedgeAt, progress.hedgeAt);
    }
}

void fan_out::hedge(std::size_t index)
{
    shard_progress &progress = m_search.shards[index];
    ++progress.hedgesConsidered;
    progress.hedgeAt = m_work.context.now + hedgeDelay();
    if (m_work.environment.quarantine.isSuspect(m_search.fingerprint, m_work.context.now))
        return;
    // The second hedge may go to a server that was already tried: if single replies are slow rather
    // than the server, another reply is probably fast.
    static const std::vector<server_id> none;
    const auto server = choose(index, progress.hedgesConsidered == 1 ? progress.tried : none);
    // A hedge to a stalled or ejected server would not be answered sooner.
    const backend_pool &backends = m_work.environment.backends;
    if (!server.has_value() || backends.isStalled(*server, m_work.context.now)
        || backends.isEjected(*server, m_work.context.now) || !withdrawForHedge(progress))
        return;
    m_work.context.emit(count_metric{"hedges_total", 1});
    send(index, *server);
}

bool fan_out::withdrawForHedge(shard_progress &progress)
{
    return std::exchange(progress.hasPrepaidAttempt, false)
        || m_search.requestState->hedgeTokens.tryWithdraw();
}

void fan_out::releaseCanary()
{
    m_search.canary.reset();
    sendPendingShards();
}

void fan_out::failShard(std::size_t index)
{
    markFailed(index);
    sendPendingShards();
}

void fan_out::abandonAll()
{
    for (std::size_t i = 0; i < m_search.shards.size(); ++i) {
        dequeueShard(i);
        abandon(i, false);
    }
}

leaf_search fan_out::leafRequest(std::size_t index) const
{
    leaf_search asked;
    asked.service = m_search.target->id;
    asked.shard = m_search.parts->shards[index].id;
    asked.at = m_search.at;
    asked.query = m_search.request.query;
    asked.limit = m_search.request.limit;
    if (m_search.request.cursor.has_value())
        asked.after = m_search.request.cursor->after;
    return asked;
}

void fan_out::sendShard(std::size_t index)
{
    if (wouldMissDeadline()) {
        markFailed(index);
        return;
    }
    const bool waits = mustWait(index);
    const auto server = waits ? std::nullopt : chooseServer(index);
    if (server.has_value()) {
        dequeueShard(index);
        send(index, *server);
        ++m_shardsSent;
    } else if (waits || mayRetryLater(index)) {
        // A canary may be waiting for another suspect request to end rather than for a free
        // replica.
        if (!m_search.canary.has_value())
            enqueueShard(index);
        setIfEarlier(m_search.nextSendAt, m_work.context.now + m_work.state.settings.limitPause);
    } else {
        markFailed(index);
    }
}

std::optional<server_id> fan_out::chooseServer(std::size_t index)
{
    if (m_search.canary.has_value())
        return canary_policy::chooseServer(m_work, m_search);
    shard_progress &progress = m_search.shards[index];
    auto chosen = choose(index, progress.tried);
    if (!chosen.has_value() || !m_work.environment.backends.isTrialDue(*chosen, m_work.context.now))
        return chosen;
    // A trial of an ejected server probably fails. Its retry or hedge is charged to the budget in
    // advance, so that the shard does not fail for lack of budget.
    if (m_search.requestState->hedgeTokens.tryWithdraw()) {
        progress.hasPrepaidAttempt = true;
        return chosen;
    }
    auto excluded = progress.tried;
    excluded.push_back(*chosen);
    const auto other = choose(index, excluded);
    return other.has_value() ? other : chosen;
}

std::optional<server_id> fan_out::choose(std::size_t index,
                                         const std::vector<server_id> &excluded) const
{
    const shard &part = m_search.parts->shards[index];
    return m_work.environment.backends.choose(m_search.target->id, part.id, part.replicas, excluded,
                                              m_search.at, m_work.context.now, m_work.context.wall,
                                              m_work.context.random);
}

bool fan_out::wouldMissDeadline() const
{
    // A request that will probably end after the deadline only takes capacity from other searches.
    const auto medianLatency =
        m_search.requestState->medianLatency.quantile().value_or(duration(0));
    return m_work.context.now + medianLatency > m_search.deadline;
}

bool fan_out::mustWait(std::size_t index) const
{
    if (m_work.state.queue.isEmpty())
        return false;
    const auto first = m_work.state.queue.first(queueKey(index));
    return first.has_value() && first->request != m_search.id.value
        && first->deadline <= m_search.deadline;
}

void fan_out::enqueueShard(std::size_t index)
{
    if (m_search.shards[index].queued)
        return;
    m_search.shards[index].queued = true;
    m_work.state.queue.enqueue(queueKey(index), {m_search.deadline, m_search.id.value, index});
}

void fan_out::dequeueShard(std::size_t index)
{
    if (!m_search.shards[index].queued)
        return;
    m_search.shards[index].queued = false;
    m_work.state.queue.remove(queueKey(index), {m_search.deadline, m_search.id.value, index});
}

void fan_out::creditBudgets()
{
    if (m_shardsSent == 0)
        return;
    const service_policy &policy = m_search.target->policy;
    m_search.requestState->hedgeTokens.deposit(static_cast<double>(m_shardsSent),
                                               policy.hedgeBudget);
    m_search.requestState->retryTokens.deposit(static_cast<double>(m_shardsSent),
                                               policy.retryBudget);
    m_work.context.emit(count_metric{"leaf_requests_total", m_shardsSent});
    m_shardsSent = 0;
}

shard_queue::key fan_out::queueKey(std::size_t index) const
{
    return {m_search.target->id, m_search.parts->shards[index].id};
}

void fan_out::send(std::size_t index, const server_id &server)
{
    shard_progress &progress = m_search.shards[index];
    reduce_context &context = m_work.context;
    backend_pool &backends = m_work.environment.backends;
    leaf_attempt attempt;
    attempt.id = context.nextAttempt();
    attempt.server = server;
    attempt.sent = context.now;
    attempt.trace = search_trace::childOf(m_search.trace, context.random);
    attempt.suspect = m_work.environment.quarantine.isSuspect(m_search.fingerprint, context.now);
    if (attempt.suspect) {
        ++m_work.state.suspectAttemptsByServer[server];
        ++m_work.state.suspectAttemptsByRequest[m_search.fingerprint];
    }
    const auto left =
        std::max(std::chrono::floor<std::chrono::milliseconds>(m_search.deadline - context.now),
                 std::chrono::milliseconds(1));
    context.emit(send_leaf_search{attempt.id, server, *backends.addressOf(server),
                                  leafRequest(index), left, attempt.trace});
    backends.onSent(server, context.now);
    m_work.state.attempts[attempt.id.value] = {m_search.id.value, index};
    if (progress.status != status_kind::InProgress) {
        progress.status = status_kind::InProgress;
        progress.hedgeAt = context.now + hedgeDelay();
        m_search.lastHedgeAt = std::max(m_search.lastHedgeAt, progress.hedgeAt);
        setIfEarlier(m_search.nextHedgeAt, progress.hedgeAt);
    }
    progress.tried.push_back(server);
    progress.attempts.push_back(std::move(attempt));
}

void fan_out::markFailed(std::size_t index)
{
    dequeueShard(index);
    m_search.shards[index].status = status_kind::Failed;
    --m_search.unfinishedShards;
}

void fan_out::abandon(std::size_t index, bool superseded)
{
    shard_progress &progress = m_search.shards[index];
    const time_point now = m_work.context.now;
    backend_pool &backends = m_work.environment.backends;
    for (leaf_attempt &attempt : progress.attempts) {
        m_search.mayHaveRun = true;
        const endpoint *address = backends.addressOf(attempt.server);
        if (address != nullptr)
            m_work.context.emit(cancel_leaf_search{attempt.id, *address});
        if (superseded || now - attempt.sent >= hedgeDelay())
            backends.onUnanswered(attempt.server, now - attempt.sent, now);
        if (superseded) {
            // Without superseded attempts, the quantile would be computed from fast attempts only.
            m_search.requestState->hedgeLatency.add(now - attempt.sent, now);
        }
        search_trace::record(m_work.context, "leaf_search", attempt.trace, m_search.trace.span,
                             attempt.sent,
                             {{"server", attempt.server.value}, {"cancelled", "true"}});
        m_work.state.attempts.erase(attempt.id.value);
        abandoned_attempt &kept = m_work.state.abandoned[attempt.id.value];
        kept = {m_search.target->id, m_search.parts->shards[index].id, m_search.fingerprint, {}};
        kept.attempt = std::move(attempt);
    }
    progress.attempts.clear();
}

duration fan_out::hedgeDelay() const
{
    return m_search.requestState->hedgeLatency.quantile().value_or(
        m_work.state.settings.firstHedgeDelay);
}

bool fan_out::mayRetryLater(std::size_t index) const
{
    const shard &part = m_search.parts->shards[index];
    return m_work.environment.backends.mayChooseLater(m_search.target->id, part.id, part.replicas,
                                                      m_search.shards[index].tried, m_search.at,
                                                      m_work.context.wall);
}

} // namespace waxwing
