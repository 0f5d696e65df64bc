#include "telemetry/span_recorder.h"

namespace waxwing {

span_recorder::span_recorder(const clock &time, std::shared_ptr<span_tracer> tracer)
    : m_time(time), m_tracer(std::move(tracer))
{ }

void span_recorder::record(const finished_span &span) const
{
    if (!span.context.sampled)
        return;
    const auto age =
        std::chrono::duration_cast<std::chrono::microseconds>(m_time.now() - span.start);
    const auto wall = std::chrono::system_clock::time_point(m_time.wallNow()) - age;

    const span_identity identity(span.context, span.parent);
    const auto recorded = m_tracer->StartSpan(
        span.operation,
        {opentracing::ChildOf(&identity), opentracing::StartTimestamp(wall, span.start)});
    if (recorded == nullptr)
        return;
    for (const auto &[key, value] : span.tags)
        recorded->SetTag(key, value);
    recorded->Finish({opentracing::FinishTimestamp(span.end)});
}

} // namespace waxwing
