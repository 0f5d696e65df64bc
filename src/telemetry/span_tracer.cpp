#include "telemetry/span_tracer.h"

#include "telemetry/json_span.h"

#include <fmt/format.h>

namespace waxwing {
namespace {

opentracing::expected<void> unsupported()
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> unsupportedExtract()
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

} // namespace

span_identity::span_identity(trace_context own, std::uint64_t parent) : m_own(own), m_parent(parent)
{ }

void span_identity::ForeachBaggageItem(
    std::function<bool(const std::string &, const std::string &)> /*visit*/) const
{ }

std::unique_ptr<opentracing::SpanContext> span_identity::Clone() const noexcept
{
    return std::make_unique<span_identity>(*this);
}

std::string span_identity::ToTraceID() const noexcept
{
    return fmt::format("{:016x}{:016x}", m_own.traceHigh, m_own.traceLow);
}

std::string span_identity::ToSpanID() const noexcept
{
    return fmt::format("{:016x}", m_own.span);
}

std::string span_identity::parentId() const
{
    return m_parent == 0 ? "" : fmt::format("{:016x}", m_parent);
}

span_tracer::span_tracer(sink write) : m_write(std::move(write)) { }

std::unique_ptr<opentracing::Span>
span_tracer::StartSpanWithOptions(opentracing::string_view operation,
                                  const opentracing::StartSpanOptions &options) const noexcept
{
    const auto *identity = options.references.empty()
        ? nullptr
        : dynamic_cast<const span_identity *>(options.references[0].second);
    if (identity == nullptr)
        return nullptr;
    return std::make_unique<json_span>(shared_from_this(), m_write, operation, *identity, options);
}

opentracing::expected<void> span_tracer::Inject(const opentracing::SpanContext & /*context*/,
                                                std::ostream & /*writer*/) const
{
    return unsupported();
}

opentracing::expected<void> span_tracer::Inject(const opentracing::SpanContext & /*context*/,
                                                const opentracing::TextMapWriter & /*writer*/) const
{
    return unsupported();
}

opentracing::expected<void>
span_tracer::Inject(const opentracing::SpanContext & /*context*/,
                    const opentracing::HTTPHeadersWriter & /*writer*/) const
{
    return unsupported();
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
span_tracer::Extract(std::istream & /*reader*/) const
{
    return unsupportedExtract();
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
span_tracer::Extract(const opentracing::TextMapReader & /*reader*/) const
{
    return unsupportedExtract();
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
span_tracer::Extract(const opentracing::HTTPHeadersReader & /*reader*/) const
{
    return unsupportedExtract();
}

} // namespace waxwing
