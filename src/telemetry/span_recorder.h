#pragma once

#include "core/clock.h"
#include "telemetry/span.h"
#include "telemetry/span_tracer.h"

#include <memory>

namespace waxwing {

/// Records finished spans through the OpenTracing interface.
class span_recorder
{
public:
    /// `time` must outlive the recorder. It places the monotonic times of spans on the wall clock.
    span_recorder(const clock &time, std::shared_ptr<span_tracer> tracer);

    /// Records a span if its trace is sampled.
    void record(const finished_span &span) const;

private:
    const clock &m_time;
    std::shared_ptr<span_tracer> m_tracer;
};

} // namespace waxwing
