#pragma once

#include "events/reduce_context.h"
#include "query/running_search.h"

#include <string>
#include <utility>
#include <vector>

namespace waxwing {

/// Creates and records the trace spans of searches.
class search_trace
{
public:
    /// Returns a new child span of `parent`, or the root span of a new trace if the trace id of
    /// `parent` is zero.
    static trace_context childOf(const trace_context &parent, random_engine &random);
    /// Records a span from `start` to now if its trace is sampled.
    static void record(reduce_context &context, const std::string &operation,
                       const trace_context &trace, std::uint64_t parent, time_point start,
                       std::vector<std::pair<std::string, std::string>> tags);
};

} // namespace waxwing
