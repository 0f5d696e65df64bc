#include "command/command_reducer.h"

#include "command/command_progress.h"
#include "command/command_refusal.h"
#include "command/command_state.h"

#include <algorithm>

namespace waxwing {
namespace {

/// Checks whether a new command is refused immediately; empty if it is accepted.
std::optional<refusal> refuse(const command_reducer_state &state,
                              const command_environment &environment,
                              const command_request &request)
{
    const auto retryAfter = state.settings.retryAfter;
    if (environment.stopping)
        return command_refusal::notServing("draining", retryAfter);
    if (environment.document == nullptr)
        return command_refusal::notServing("starting", retryAfter);
    if (environment.document->findService(request.service) == nullptr)
        return command_refusal::unknownService();
    if (state.commands.size() >= state.settings.maxInProgress)
        return command_refusal::notServing("overloaded", retryAfter);
    return std::nullopt;
}

/// Removes the attempt and returns its request; empty if the attempt is unknown.
std::optional<request_id> takeAttempt(command_reducer_state &state, attempt_id attempt)
{
    const auto found = state.attempts.find(attempt);
    if (found == state.attempts.end())
        return std::nullopt;
    const request_id id = found->second;
    state.attempts.erase(found);
    return id;
}

} // namespace

command_reducer::command_reducer(command_settings settings)
    : m_state(std::make_unique<command_reducer_state>())
{
    m_state->settings = settings;
}

command_reducer::command_reducer(command_reducer &&) noexcept = default;
command_reducer &command_reducer::operator=(command_reducer &&) noexcept = default;
command_reducer::~command_reducer() = default;

void command_reducer::onCommand(reduce_context &context, command_environment &environment,
                                const command_received &received)
{
    const command_request &request = received.request;
    if (const auto refused = refuse(*m_state, environment, request)) {
        context.emit(answer_command{received.id, *refused});
        return;
    }
    auto timeout = environment.document->findService(request.service)->policy.deadline;
    if (request.timeout.count() > 0)
        timeout = std::min(timeout, request.timeout);

    running_command &added = m_state->commands[received.id];
    added.request = request;
    added.deadline = context.now + timeout;
    ++m_state->unanswered;
    m_state->schedule(received.id, added, added.deadline);
    command_progress progress(context, *m_state, received.id);
    const member &self = environment.members.self();
    // A forwarded command runs here even if this host does not consider itself a holder, because
    // hosts may have different views of the membership.
    if (received.forwarded || environment.holders.isHolder(request.service, self.host))
        progress.claim(self);
    else
        progress.forward(environment);
}

void command_reducer::onCallerGone(reduce_context &, request_id id)
{
    const auto found = m_state->commands.find(id);
    if (found == m_state->commands.end() || found->second.isAnswered)
        return;
    found->second.isAnswered = true;
    --m_state->unanswered;
    m_state->schedule(id, found->second, std::nullopt);
}

bool command_reducer::onPlatform(reduce_context &context, command_environment &environment,
                                 const platform_finished &finished)
{
    const auto id = takeAttempt(*m_state, finished.attempt);
    if (id)
        command_progress(context, *m_state, *id).onPlatform(environment, finished.result);
    return id.has_value();
}

bool command_reducer::onLeafCommand(reduce_context &context, command_environment &environment,
                                    const leaf_command_finished &finished)
{
    const auto id = takeAttempt(*m_state, finished.attempt);
    if (id)
        command_progress(context, *m_state, *id).onLeaf(environment, finished);
    return id.has_value();
}

bool command_reducer::onForwarded(reduce_context &context,
                                  const forwarded_command_finished &finished)
{
    const auto id = takeAttempt(*m_state, finished.attempt);
    if (id)
        command_progress(context, *m_state, *id).onForwarded(finished);
    return id.has_value();
}

void command_reducer::onTick(reduce_context &context)
{
    while (!m_state->commandsByDueTime.empty()
           && m_state->commandsByDueTime.begin()->first <= context.now)
        command_progress(context, *m_state, m_state->commandsByDueTime.begin()->second).onDue();
}

std::optional<time_point> command_reducer::nextDeadline() const
{
    if (m_state->commandsByDueTime.empty())
        return std::nullopt;
    return m_state->commandsByDueTime.begin()->first;
}

std::size_t command_reducer::inProgress() const
{
    return m_state->commands.size();
}

} // namespace waxwing
