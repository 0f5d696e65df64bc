#pragma once

#include "core/clock.h"
#include "core/trace_context.h"

#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// One hop of a request, finished.
struct finished_span
{
    /// What was done, such as `leaf_search`.
    std::string operation;
    /// Trace and id of this span.
    trace_context context;
    /// Id of the span that caused it; 0 for the first of a trace.
    std::uint64_t parent = 0;
    /// When it began.
    time_point start;
    /// When it ended.
    time_point end;
    /// Attributes, such as the backend server.
    std::vector<std::pair<std::string, std::string>> tags;

    bool operator==(const finished_span &) const = default;
};

} // namespace waxwing
