#include "memory_budget/memory_hold.h"

namespace waxwing {

void memory_hold::setHeld(std::size_t bytes)
{
    if (m_budget == nullptr)
        return;
    std::size_t &total = m_budget->m_held[memory_budget::indexOf(m_use)];
    total = total - m_held + bytes;
    m_held = bytes;
}

bool memory_hold::hold(std::size_t bytes)
{
    const bool isMore = bytes > m_held;
    setHeld(bytes);
    return m_budget == nullptr || !isMore || m_budget->makeRoom(m_use);
}

} // namespace waxwing
