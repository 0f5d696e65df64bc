#pragma once

#include "memory_budget/memory_budget.h"

#include <cstddef>

namespace waxwing::relay {

/// Memory that a host may use.
struct memory_settings
{
    /// Memory of the process, in bytes; it is ended when it takes more.
    std::size_t limit = std::size_t{256} * 1024 * 1024;
    /// Largest answer of a server that is held whole before it is passed on, in bytes, so that a
    /// failure within it can still be retried or reported. Larger ones go to their callers in
    /// pieces; parts of fan-outs and answers of other hosts cannot be larger.
    std::size_t bufferedAnswer = std::size_t{4} * 1024 * 1024;

    /// Budget for the bytes that are held for others. The other half of the memory is for routes,
    /// servers and members, for the log, and for gaps in the heap.
    memory_budget_settings budget() const { return {.bytes = limit / 2}; }

    bool operator==(const memory_settings &) const = default;
};

} // namespace waxwing::relay
