#include "query/fan_out.h"

#include "query/canary_policy.h"
#include "query/search_trace.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

using step_kind = shard_progress::step_kind;

void lowerTo(std::optional<time_point> &earliest, time_point at)
{
    if (!earliest.has_value() || at < *earliest)
        earliest = at;
}

/// Whether the server said, or the connection shows, that nothing was run.
bool isNotRun(leaf_error error)
{
    return error == leaf_error::NotConnected || error == leaf_error::Overloaded
        || error == leaf_error::Draining || error == leaf_error::VersionNotHeld;
}

} // namespace

fan_out::fan_out(search_work &work, running_search &search) : m_work(work), m_search(search) { }

void fan_out::begin(const partitioning &parts, const snapshot &at)
{
    for (std::size_t i = 0; i < m_search.shards.size(); ++i)
        leaveQueue(i);
    m_search.parts = &parts;
    m_search.at = at;
    m_search.shards.assign(parts.shards.size(), {});
    m_search.merge.emplace(parts.shards, m_search.request.limit);
    m_search.undecided = parts.shards.size();
    m_search.nextHedge.reset();
    m_search.earlyAt.reset();
    canary_policy::begin(m_work, m_search);
    sendUnsent();
}

void fan_out::sendUnsent()
{
    m_search.wakeAt.reset();
    m_sent = 0;
    // A host that was paused may find the deadline passed.
    if (m_work.context.now >= m_search.deadline)
        return;
    if (m_search.canary.has_value() && m_work.context.now < m_search.canary->notBefore) {
        m_search.wakeAt = m_search.canary->notBefore;
        return;
    }
    // A canary shard without any replica is lost, and the next one takes its place.
    while (m_search.canary.has_value()) {
        const std::size_t index = m_search.canary->shard;
        if (m_search.shards[index].step == step_kind::Unsent)
            sendShard(index);
        if (m_search.shards[index].step != step_kind::Lost)
            break;
        canary_policy::moveOn(m_work, m_search, m_work.context.now);
    }
    if (!m_search.canary.has_value()) {
        for (std::size_t i = 0; i < m_search.shards.size(); ++i)
            if (m_search.shards[i].step == step_kind::Unsent)
                sendShard(i);
    }
    accountSent();
}

bool fan_out::sendQueued(std::size_t index)
{
    m_sent = 0;
    if (m_search.canary.has_value() && m_search.canary->shard != index)
        leaveQueue(index);
    else
        sendShard(index);
    accountSent();
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
    m_search.pace->slow.add(latency, now);
    m_search.pace->usual.add(latency, now);
    m_search.mayHaveRun = true;
    shard_progress &progress = m_search.shards[index];
    if (std::exchange(progress.extraPaid, false))
        m_search.pace->hedges.earn(1, 1);
    progress.step = step_kind::Answered;
    --m_search.undecided;
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
    m_search.mayHaveRun = m_search.mayHaveRun || !isNotRun(failure.error);
    const bool notHeld = failure.error == leaf_error::VersionNotHeld;
    if (notHeld)
        backends.onSnapshotsReported(attempt.server, m_search.target->id,
                                     m_search.parts->shards[index].id, failure.held, now);
    if (failure.error == leaf_error::ConnectionLost) {
        m_work.context.emit(count_metric{"leaf_connections_lost_total", 1});
        m_work.environment.quarantine.onConnectionLost(m_search.target->id, m_search.fingerprint,
                                                       attempt.server, attempt.sent, now);
    }
    if (needsNextCanary(index, failure.error))
        return tryNextCanary(index, failure.error);
    if (!progress.attempts.empty() || progress.step != step_kind::InProgress)
        return failure_effect::None;
    if (!mayChooseLater(index))
        return onNoReplica(index, notHeld);
    // The refusal of a snapshot ran nothing and costs little, so it is not part of the budget.
    const bool isPaid = notHeld || std::exchange(progress.extraPaid, false);
    if (!isPaid && !m_search.pace->retries.spend()) {
        loseShard(index);
        return failure_effect::None;
    }
    m_work.context.emit(count_metric{"retries_total", 1});
    progress.step = step_kind::Unsent;
    progress.hedges = 0;
    sendUnsent();
    return failure_effect::None;
}

bool fan_out::needsNextCanary(std::size_t index, leaf_error error) const
{
    if (m_work.environment.quarantine.isKnownGood(m_search.fingerprint))
        return false;
    if (error == leaf_error::ConnectionLost)
        return true;
    // A server that cannot be reached may have been crashed by a copy on another host.
    return error == leaf_error::NotConnected && m_search.canary.has_value()
        && m_search.canary->shard == index;
}

failure_effect fan_out::tryNextCanary(std::size_t index, leaf_error error)
{
    // The shards that are not in progress wait for the new canary, which is another shard, so that
    // no shard loses all its replicas to one request.
    shard_progress &progress = m_search.shards[index];
    // A server that refuses the connection ran nothing: at worst its shard is lost.
    const bool isRefused = error == leaf_error::NotConnected;
    if (progress.attempts.empty() && progress.step == step_kind::InProgress) {
        progress.step = step_kind::Unsent;
        progress.hedges = 0;
        if (m_search.pace->retries.spend())
            m_work.context.emit(count_metric{"retries_total", 1});
        else if (isRefused)
            lose(index);
        else
            return failure_effect::Suspected;
    }
    if (!m_search.canary.has_value() || m_search.canary->shard == index) {
        if (!canary_policy::moveOn(m_work, m_search, m_work.context.now + canaryPause())
            && !isRefused)
            return failure_effect::Suspected;
    }
    sendUnsent();
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

failure_effect fan_out::onNoReplica(std::size_t index, bool notHeld)
{
    const shard &part = m_search.parts->shards[index];
    const bool gone = notHeld
        || isSnapshotGone(m_search.target->id, part, m_search.at, m_work.environment.backends,
                          m_work.context.wall);
    if (gone)
        return failure_effect::SnapshotMissing;
    loseShard(index);
    return failure_effect::None;
}

void fan_out::sendDueHedges()
{
    const time_point now = m_work.context.now;
    if (!m_search.nextHedge.has_value() || *m_search.nextHedge > now)
        return;
    m_search.nextHedge.reset();
    for (std::size_t i = 0; i < m_search.shards.size(); ++i) {
        const shard_progress &progress = m_search.shards[i];
        if (progress.step != step_kind::InProgress
            || progress.hedges >= m_work.state.settings.hedgesPerShard)
            continue;
        if (progress.hedgeAt <= now)
            hedge(i);
        if (progress.hedgeAt > now)
            lowerTo(m_search.nextHedge, progress.hedgeAt);
    }
}

void fan_out::hedge(std::size_t index)
{
    shard_progress &progress = m_search.shards[index];
    ++progress.hedges;
    progress.hedgeAt = m_work.context.now + hedgeDelay();
    if (m_work.environment.quarantine.isSuspect(m_search.fingerprint, m_work.context.now))
        return;
    // The second hedge may go to a server that has the request already: where single replies are
    // slow rather than servers, a new one is most likely not.
    static const std::vector<server_id> none;
    const auto server = choose(index, progress.hedges == 1 ? progress.tried : none);
    // A hedge on a server that is itself in trouble would not come sooner.
    const backend_pool &backends = m_work.environment.backends;
    if (!server.has_value() || backends.isStalled(*server, m_work.context.now)
        || backends.isEjected(*server, m_work.context.now) || !payForHedge(progress))
        return;
    m_work.context.emit(count_metric{"hedges_total", 1});
    send(index, *server);
}

bool fan_out::payForHedge(shard_progress &progress)
{
    return std::exchange(progress.extraPaid, false) || m_search.pace->hedges.spend();
}

void fan_out::releaseCanary()
{
    m_search.canary.reset();
    sendUnsent();
}

void fan_out::loseShard(std::size_t index)
{
    lose(index);
    sendUnsent();
}

void fan_out::abandonAll()
{
    for (std::size_t i = 0; i < m_search.shards.size(); ++i) {
        leaveQueue(i);
        abandon(i, false);
    }
}

leaf_search fan_out::question(std::size_t index) const
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
    if (isTooLate()) {
        lose(index);
        return;
    }
    const bool waits = mustQueue(index);
    const auto server = waits ? std::nullopt : chooseServer(index);
    if (server.has_value()) {
        leaveQueue(index);
        send(index, *server);
        ++m_sent;
    } else if (waits || mayChooseLater(index)) {
        // A canary may wait for another request rather than for a free replica.
        if (!m_search.canary.has_value())
            joinQueue(index);
        lowerTo(m_search.wakeAt, m_work.context.now + m_work.state.settings.limitPause);
    } else {
        lose(index);
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
    // A trial most likely fails. What replaces it then is paid in advance, so that it does not cost
    // the shard.
    if (m_search.pace->hedges.spend()) {
        progress.extraPaid = true;
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

bool fan_out::isTooLate() const
{
    // A request that most likely ends after the deadline only takes capacity from others.
    const auto usual = m_search.pace->usual.quantile().value_or(duration(0));
    return m_work.context.now + usual > m_search.deadline;
}

bool fan_out::mustQueue(std::size_t index) const
{
    if (m_work.state.queue.isEmpty())
        return false;
    const auto first = m_work.state.queue.first(queueKey(index));
    return first.has_value() && first->request != m_search.id.value
        && first->deadline <= m_search.deadline;
}

void fan_out::joinQueue(std::size_t index)
{
    if (m_search.shards[index].queued)
        return;
    m_search.shards[index].queued = true;
    m_work.state.queue.join(queueKey(index), {m_search.deadline, m_search.id.value, index});
}

void fan_out::leaveQueue(std::size_t index)
{
    if (!m_search.shards[index].queued)
        return;
    m_search.shards[index].queued = false;
    m_work.state.queue.leave(queueKey(index), {m_search.deadline, m_search.id.value, index});
}

void fan_out::accountSent()
{
    if (m_sent == 0)
        return;
    const service_policy &policy = m_search.target->policy;
    m_search.pace->hedges.earn(static_cast<double>(m_sent), policy.hedgeBudget);
    m_search.pace->retries.earn(static_cast<double>(m_sent), policy.retryBudget);
    m_work.context.emit(count_metric{"leaf_requests_total", m_sent});
    m_sent = 0;
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
        ++m_work.state.suspects[server];
        ++m_work.state.suspectRequests[m_search.fingerprint];
    }
    const auto left =
        std::max(std::chrono::floor<std::chrono::milliseconds>(m_search.deadline - context.now),
                 std::chrono::milliseconds(1));
    context.emit(send_leaf_search{attempt.id, server, *backends.addressOf(server), question(index),
                                  left, attempt.trace});
    backends.onSent(server, context.now);
    m_work.state.attempts[attempt.id.value] = {m_search.id.value, index};
    if (progress.step != step_kind::InProgress) {
        progress.step = step_kind::InProgress;
        progress.hedgeAt = context.now + hedgeDelay();
        m_search.lastHedge = std::max(m_search.lastHedge, progress.hedgeAt);
        lowerTo(m_search.nextHedge, progress.hedgeAt);
    }
    progress.tried.push_back(server);
    progress.attempts.push_back(std::move(attempt));
}

void fan_out::lose(std::size_t index)
{
    leaveQueue(index);
    m_search.shards[index].step = step_kind::Lost;
    --m_search.undecided;
}

void fan_out::abandon(std::size_t index, bool outpaced)
{
    shard_progress &progress = m_search.shards[index];
    const time_point now = m_work.context.now;
    backend_pool &backends = m_work.environment.backends;
    for (leaf_attempt &attempt : progress.attempts) {
        m_search.mayHaveRun = true;
        const endpoint *address = backends.addressOf(attempt.server);
        if (address != nullptr)
            m_work.context.emit(cancel_leaf_search{attempt.id, *address});
        if (outpaced || now - attempt.sent >= hedgeDelay())
            backends.onUnanswered(attempt.server, now - attempt.sent, now);
        if (outpaced) {
            // Without the attempts that were overtaken the quantile would only see fast ones.
            m_search.pace->slow.add(now - attempt.sent, now);
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
    return m_search.pace->slow.quantile().value_or(m_work.state.settings.firstHedgeDelay);
}

bool fan_out::mayChooseLater(std::size_t index) const
{
    const shard &part = m_search.parts->shards[index];
    return m_work.environment.backends.mayChooseLater(m_search.target->id, part.id, part.replicas,
                                                      m_search.shards[index].tried, m_search.at,
                                                      m_work.context.wall);
}

} // namespace waxwing
