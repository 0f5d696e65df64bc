#include "entry/effect_dispatcher.h"

namespace waxwing {
effect_dispatcher::effect_dispatcher(entry_components components)
    : m_components(std::move(components))
{ }

void effect_dispatcher::carryOut(const effect &action)
{
    std::visit(*this, action);
}

void effect_dispatcher::operator()(const answer_search &action)
{
    // If neither server has the request, its caller has disconnected and the answer is dropped.
    if (!m_components.callers.answer(action.id, action.outcome))
        m_components.peerServer.answer(action.id, action.outcome);
}

void effect_dispatcher::operator()(const answer_command &action)
{
    if (!m_components.callers.answer(action.id, action.outcome))
        m_components.peerServer.answer(action.id, action.outcome);
}

void effect_dispatcher::operator()(const record_span &action)
{
    if (m_components.spans != nullptr)
        m_components.spans->record(action.span);
}

void effect_dispatcher::operator()(const count_metric &action)
{
    m_components.metrics.count(action.name, action.amount);
}

void effect_dispatcher::operator()(const sample_metric &action)
{
    m_components.metrics.sample(action.name, action.value);
}

void effect_dispatcher::operator()(const close_callers & /*action*/)
{
    m_components.callers.beginDrain();
}

void effect_dispatcher::operator()(const exit_process & /*action*/)
{
    m_components.exit();
}

} // namespace waxwing
