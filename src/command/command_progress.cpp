#include "command/command_progress.h"

#include "command/command_refusal.h"
#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwing {
namespace {

using phase_kind = running_command::phase_kind;
using step_kind = claim_step::step_kind;

/// Chooses a random holder of the service that is alive or suspect, in the own zone if possible;
/// null if there is none.
const member *chooseHolder(const command_environment &environment, const service_id &service,
                           random_engine &random)
{
    std::vector<const member *> near;
    std::vector<const member *> far;
    const member &self = environment.members.self();
    const auto &members = environment.members.members();
    for (const host_id &host : environment.holders.holders(service)) {
        const auto known = members.find(host);
        if (known == members.end() || host == self.host
            || known->second.state > member_state::Suspect)
            continue;
        (known->second.zone == self.zone ? near : far).push_back(&known->second);
    }
    const auto &list = near.empty() ? far : near;
    return list.empty() ? nullptr : list[random(static_cast<std::uint32_t>(list.size()))];
}

/// Finds the shard of the newest partitioning that holds the document; null if there is none.
const shard *findShard(const command_environment &environment, const command_request &request)
{
    const service *found = environment.document != nullptr
        ? environment.document->findService(request.service)
        : nullptr;
    if (found == nullptr || found->partitionings.empty()
        || found->partitionings.back().shards.empty())
        return nullptr;
    const auto &shards = found->partitionings.back().shards;
    return &shards[stableHash(request.document) % shards.size()];
}

std::uint64_t random64(random_engine &random)
{
    const std::uint64_t high = random();
    return high << 32U | random();
}

/// Whether the failure guarantees that the backend server did not run the command.
bool wasNotExecuted(leaf_error error)
{
    return error == leaf_error::NotConnected || error == leaf_error::Overloaded
        || error == leaf_error::Draining || error == leaf_error::VersionNotHeld;
}

} // namespace

command_progress::command_progress(reduce_context &context, command_reducer_state &state,
                                   request_id id)
    : m_context(context), m_state(state), m_id(id), m_command(state.commands.at(id))
{ }

void command_progress::forward(const command_environment &environment)
{
    const member *holder = chooseHolder(environment, m_command.request.service, m_context.random);
    if (holder == nullptr) {
        answer(command_refusal::notRun("no holder of the service is known",
                                       m_state.settings.retryAfter));
        erase();
        return;
    }
    m_command.phase = phase_kind::Forwarded;
    forward_command forwarded{m_context.nextAttempt(), holder->peer, m_command.request};
    forwarded.request.timeout = timeLeft();
    m_state.attempts[forwarded.attempt] = m_id;
    m_context.emit(std::move(forwarded));
}

void command_progress::claim(const member &self)
{
    claim_record ownRecord;
    ownRecord.host = self.host.value;
    ownRecord.incarnation = self.incarnation;
    ownRecord.nonce =
        fmt::format("{:016x}{:016x}", random64(m_context.random), random64(m_context.random));
    ownRecord.request = claim_record::fingerprint(m_command.request);
    m_command.claim.emplace(claim_record::name(m_command.request), std::move(ownRecord));
    callPlatform(m_command.claim->acquire());
}

void command_progress::onPlatform(command_environment &environment, const platform_result &result)
{
    const claim_step step = m_command.claim->onResult(result);
    if (m_command.phase == phase_kind::Recording)
        onRecordStep(step);
    else
        onClaim(environment, step);
}

void command_progress::onClaim(command_environment &environment, const claim_step &step)
{
    // Compared with the time of the event, because this host may have been paused.
    if (!m_command.isAnswered && m_context.now >= m_command.deadline)
        answer(command_refusal::deadlineExceeded(m_state.settings.retryAfter));
    const bool mayGoOn = !m_command.isAnswered;
    if (step.kind == step_kind::Call && mayGoOn) {
        callPlatform(*step.call);
    } else if (step.kind == step_kind::Owned && mayGoOn) {
        send(environment);
    } else if (step.kind == step_kind::Call || step.kind == step_kind::Owned
               || step.kind == step_kind::Unreachable) {
        answer(command_refusal::platformUnavailable(m_state.settings.retryAfter));
        release();
    } else {
        if (step.kind == step_kind::Replay)
            answer(command_answer{m_command.request.service, step.result, true});
        else if (step.kind == step_kind::OtherRequest)
            answer(command_refusal::keyReused());
        else
            answer(command_refusal::alreadyClaimed(m_state.settings.retryAfter));
        erase();
    }
}

void command_progress::send(command_environment &environment)
{
    const shard *target = findShard(environment, m_command.request);
    std::optional<server_id> server;
    if (target != nullptr)
        server = environment.backends.choose(m_command.request.service, target->id,
                                             target->replicas, m_command.tried, std::nullopt,
                                             m_context.now, m_context.wall, m_context.random);
    const backend_server *found = server ? environment.document->findServer(*server) : nullptr;
    if (found == nullptr || timeLeft().count() <= 0) {
        answer(command_refusal::notRun("no backend server of the document can be reached",
                                       m_state.settings.retryAfter));
        release();
        return;
    }
    m_command.phase = phase_kind::Running;
    m_command.tried.push_back(found->id);
    m_command.sentAt = m_context.now;
    m_command.leafTrace = m_command.request.trace;
    m_command.leafTrace.span = random64(m_context.random);
    environment.backends.onSent(found->id, m_context.now);
    const command_request &request = m_command.request;
    send_leaf_command sent{
        m_context.nextAttempt(),
        found->id,
        found->address,
        {request.service, target->id, request.document, request.operation, request.payload},
        timeLeft(),
        m_command.leafTrace};
    m_state.attempts[sent.attempt] = m_id;
    m_context.emit(std::move(sent));
}

void command_progress::onLeaf(command_environment &environment,
                              const leaf_command_finished &finished)
{
    const server_id server = m_command.tried.back();
    m_context.emit(record_span{{"leaf_command",
                                m_command.leafTrace,
                                m_command.request.trace.span,
                                m_command.sentAt,
                                m_context.now,
                                {{"server", server.value}}}});
    if (const auto *failure = std::get_if<leaf_failure>(&finished.outcome)) {
        environment.backends.onFailure(server, *failure, m_context.now);
        onLeafFailure(environment, *failure);
        return;
    }
    environment.backends.onAnswer(server, m_context.now - m_command.sentAt, m_context.now);
    const auto &result = std::get<leaf_command_answer>(finished.outcome).result;
    answer(command_answer{m_command.request.service, result, false});
    m_command.phase = phase_kind::Recording;
    callPlatform(m_command.claim->record(result));
}

void command_progress::onLeafFailure(command_environment &environment, const leaf_failure &failure)
{
    if (!wasNotExecuted(failure.error)) {
        // The claim stays without an outcome, so that no later attempt runs the command again.
        answer(command_refusal::outcomeUnknown("the backend server did not answer",
                                               m_state.settings.retryAfter));
        erase();
        return;
    }
    if (failure.error == leaf_error::NotConnected && !m_command.isAnswered
        && m_context.now < m_command.deadline
        && m_command.tried.size() < m_state.settings.maxConnectAttempts) {
        send(environment);
        return;
    }
    answer(command_refusal::notRun("the backend server ran nothing",
                                   std::max(failure.retryAfter, m_state.settings.retryAfter)));
    release();
}

void command_progress::release()
{
    if (!m_command.claim->needsRelease()) {
        erase();
        return;
    }
    m_command.phase = phase_kind::Recording;
    callPlatform(m_command.claim->release());
}

void command_progress::onRecordStep(const claim_step &step)
{
    if (step.kind == step_kind::Call) {
        callPlatform(*step.call);
        return;
    }
    const command_settings &settings = m_state.settings;
    if (step.kind == step_kind::Retry && ++m_command.failedWrites < settings.maxRecordAttempts) {
        const std::uint32_t doublings = std::min(m_command.failedWrites - 1, 16U);
        const auto delay =
            std::min(settings.maxRecordRetryDelay, settings.recordRetryDelay * (1U << doublings));
        m_state.schedule(m_id, m_command, m_context.now + delay);
        return;
    }
    if (step.kind != step_kind::Recorded) {
        m_context.emit(write_log{{log_level::Error,
                                  "the end of a command could not be recorded in its claim",
                                  {{"service", m_command.request.service.value}}}});
        m_context.emit(count_metric{"commands_not_recorded_total"});
    }
    erase();
}

void command_progress::onForwarded(const forwarded_command_finished &finished)
{
    if (const auto *outcome = std::get_if<command_outcome>(&finished.outcome)) {
        answer(*outcome);
    } else if (std::get<forward_failure>(finished.outcome).mayHaveBeenReceived) {
        answer(command_refusal::outcomeUnknown("the entry host that was asked did not answer",
                                               m_state.settings.retryAfter));
    } else {
        answer(command_refusal::notRun("the holder of the service cannot be reached",
                                       m_state.settings.retryAfter));
    }
    erase();
}

void command_progress::onDue()
{
    m_state.schedule(m_id, m_command, std::nullopt);
    if (m_command.phase == phase_kind::Recording)
        callPlatform(m_command.claim->repeat());
    else if (m_command.phase == phase_kind::Claiming)
        answer(command_refusal::deadlineExceeded(m_state.settings.retryAfter));
    else
        answer(command_refusal::outcomeUnknown("the time ran out after the command was sent",
                                               m_state.settings.retryAfter));
}

void command_progress::callPlatform(platform_call call)
{
    call.timeout = m_command.phase == phase_kind::Claiming
        ? std::min(m_state.settings.claimTimeout, timeLeft())
        : m_state.settings.recordTimeout;
    const attempt_id attempt = m_context.nextAttempt();
    m_state.attempts[attempt] = m_id;
    m_context.emit(call_platform{attempt, std::move(call)});
}

void command_progress::answer(const command_outcome &outcome)
{
    if (m_command.isAnswered)
        return;
    m_command.isAnswered = true;
    --m_state.unanswered;
    m_state.schedule(m_id, m_command, std::nullopt);
    m_context.emit(answer_command{m_id, outcome});
}

void command_progress::erase()
{
    m_state.schedule(m_id, m_command, std::nullopt);
    m_state.commands.erase(m_id);
}

std::chrono::milliseconds command_progress::timeLeft() const
{
    return std::chrono::floor<std::chrono::milliseconds>(m_command.deadline - m_context.now);
}

} // namespace waxwing
