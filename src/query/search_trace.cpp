#include "query/search_trace.h"

namespace waxwing {
namespace {

std::uint64_t random64(random_engine &random)
{
    const std::uint64_t high = random();
    // Trace and span ids must not be zero.
    return (high << 32U) | random() | 1U;
}

} // namespace

trace_context search_trace::childOf(const trace_context &parent, random_engine &random)
{
    trace_context child = parent;
    if (parent.traceHigh == 0 && parent.traceLow == 0) {
        child.traceHigh = random64(random);
        child.traceLow = random64(random);
    }
    child.span = random64(random);
    return child;
}

void search_trace::record(reduce_context &context, const std::string &operation,
                          const trace_context &trace, std::uint64_t parent, time_point start,
                          std::vector<std::pair<std::string, std::string>> tags)
{
    if (!trace.sampled)
        return;
    context.emit(record_span{{operation, trace, parent, start, context.now, std::move(tags)}});
}

} // namespace waxwing
