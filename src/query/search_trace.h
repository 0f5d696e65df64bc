#pragma once

#include "events/reduce_context.h"
#include "query/running_search.h"

#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// Spans of searches.
class search_trace
{
public:
    /// A new span below `parent`, or the first span of a new trace if there is none.
    static trace_context childOf(const trace_context &parent, random_engine &random);
    /// Records a span, if its trace is recorded.
    static void record(reduce_context &context, const std::string &operation,
                       const trace_context &trace, std::uint64_t parent, time_point start,
                       std::vector<std::pair<std::string, std::string>> tags);
};

} // namespace waxwing
