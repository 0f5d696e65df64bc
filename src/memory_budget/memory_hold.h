#pragma once

#include "memory_budget/memory_budget.h"

#include <cstddef>

namespace waxwing {

/// Bytes that one connection holds in a `memory_budget`; returned at the end of the hold.
class memory_hold
{
public:
    /// `budget` must outlive the hold; without one nothing is counted.
    memory_hold(memory_budget *budget, memory_use use) : m_budget(budget), m_use(use) { }
    ~memory_hold() { setHeld(0); }
    memory_hold(const memory_hold &) = delete;
    memory_hold &operator=(const memory_hold &) = delete;

    /// Bytes held.
    std::size_t held() const { return m_held; }
    /// Changes the number of bytes, also beyond the budget.
    void setHeld(std::size_t bytes);
    /// Like `setHeld`, then makes room for them. False if there is none; the bytes stay counted
    /// until the holder lets them go. May release the bytes of this hold too.
    bool hold(std::size_t bytes);

private:
    memory_budget *m_budget;
    memory_use m_use;
    std::size_t m_held = 0;
};

} // namespace waxwing
