#include "entry/entry_reducer.h"

#include "entry/entry_dispatch.h"
#include "entry/entry_parts.h"

namespace waxwing {

entry_state entry_state::create(const entry_settings &settings)
{
    return entry_state(std::make_unique<parts>(settings));
}

entry_state::entry_state(std::unique_ptr<parts> content) : m_parts(std::move(content)) { }

entry_state::entry_state(entry_state &&) noexcept = default;
entry_state &entry_state::operator=(entry_state &&) noexcept = default;
entry_state::~entry_state() = default;

std::optional<time_point> entry_state::nextDeadline() const
{
    std::optional<time_point> earliest;
    for (const auto &deadline : {m_parts->members.nextDeadline(), m_parts->documents.nextDeadline(),
                                 m_parts->departures.nextDeadline(),
                                 m_parts->queries.nextDeadline(), m_parts->commands.nextDeadline(),
                                 m_parts->poller.nextDeadline(), m_parts->stop.nextDeadline()}) {
        if (deadline.has_value() && (!earliest.has_value() || *deadline < *earliest))
            earliest = deadline;
    }
    return earliest;
}

bool entry_state::isReady() const
{
    return m_parts->appliedDocument != nullptr && !m_parts->stop.isStopping();
}

const configuration_copy &entry_state::currentConfiguration() const
{
    return m_parts->documents.current();
}

peer_state entry_state::peerState(time_point now) const
{
    peer_state state;
    for (const auto &[host, known] : m_parts->members.members())
        state.members.push_back(known);
    state.facts = m_parts->members.facts(now);
    state.configurationText = m_parts->documents.current().text;
    return state;
}

reduction entry_reducer::reduce(entry_state state, const event &input)
{
    effect_list effects;
    entry_state::parts &parts = *state.m_parts;
    reduce_context context{input.at, input.wall, parts.random, parts.lastAttempt, effects};
    std::visit(entry_dispatch(parts, context), input.body);
    parts.synchronise(context);
    return {std::move(state), std::move(effects)};
}

} // namespace waxwing
