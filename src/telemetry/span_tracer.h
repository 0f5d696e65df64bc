#pragma once

#include "core/trace_context.h"

#include <opentracing/tracer.h>

#include <functional>
#include <memory>
#include <string>

namespace waxwing {

/// Ids of a span that is recorded after it has finished.
class span_identity final : public opentracing::SpanContext
{
public:
    /// `own` has the id of the span itself, `parent` that of the span that caused it, 0 for none.
    span_identity(trace_context own, std::uint64_t parent);

    void ForeachBaggageItem(
        std::function<bool(const std::string &, const std::string &)> visit) const override;
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
    std::string ToTraceID() const noexcept override;
    std::string ToSpanID() const noexcept override;
    /// Id of the parent in hexadecimal digits; empty for none.
    std::string parentId() const;

private:
    trace_context m_own;
    std::uint64_t m_parent;
};

/// OpenTracing tracer that writes each finished span as one JSON line.
///
/// The mock tracer of libopentracing is not used: it draws its own span ids and keeps trace ids of
/// 64 bits, while spans here already have the ids of the `traceparent` header. A span takes its
/// ids from the `span_identity` that it is started with as its first reference.
class span_tracer final : public opentracing::Tracer,
                          public std::enable_shared_from_this<span_tracer>
{
public:
    /// Receives each line, without the line end.
    using sink = std::function<void(const std::string &line)>;

    explicit span_tracer(sink write);

    std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view operation,
                         const opentracing::StartSpanOptions &options) const noexcept override;
    /// Not supported, nor are the other carriers: the shells pass `traceparent` on themselves.
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       std::ostream &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(std::istream &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::TextMapReader &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::HTTPHeadersReader &reader) const override;

private:
    sink m_write;
};

} // namespace waxwing
