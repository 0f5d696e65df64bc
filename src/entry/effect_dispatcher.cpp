#include "entry/effect_dispatcher.h"

namespace waxwing {
effect_dispatcher::effect_dispatcher(entry_shells shells) : m_shells(std::move(shells)) { }

void effect_dispatcher::carryOut(const effect &action)
{
    std::visit(*this, action);
}

void effect_dispatcher::operator()(const answer_search &action)
{
    // If neither server has the request, its caller has disconnected and the answer is dropped.
    if (!m_shells.callers.answer(action.id, action.outcome))
        m_shells.peerServer.answer(action.id, action.outcome);
}

void effect_dispatcher::operator()(const answer_command &action)
{
    if (!m_shells.callers.answer(action.id, action.outcome))
        m_shells.peerServer.answer(action.id, action.outcome);
}

void effect_dispatcher::operator()(const record_span &action)
{
    if (m_shells.spans != nullptr)
        m_shells.spans->record(action.span);
}

void effect_dispatcher::operator()(const count_metric &action)
{
    m_shells.metrics.count(action.name, action.amount);
}

void effect_dispatcher::operator()(const sample_metric &action)
{
    m_shells.metrics.sample(action.name, action.value);
}

void effect_dispatcher::operator()(const close_callers & /*action*/)
{
    m_shells.callers.beginDrain();
}

void effect_dispatcher::operator()(const exit_process & /*action*/)
{
    m_shells.exit();
}

} // namespace waxwing
