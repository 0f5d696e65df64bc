#pragma once

#include "telemetry/span_tracer.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace waxwing {

/// Span that writes itself as one JSON line when it is finished.
class json_span final : public opentracing::Span
{
public:
    /// `identity` gives the ids of the span.
    json_span(std::shared_ptr<const span_tracer> tracer, span_tracer::sink write,
              std::string operation, const span_identity &identity,
              const opentracing::StartSpanOptions &options);

    void FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept override;
    void SetOperationName(opentracing::string_view name) noexcept override;
    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override;
    /// Baggage is not kept.
    void SetBaggageItem(opentracing::string_view key,
                        opentracing::string_view value) noexcept override;
    std::string BaggageItem(opentracing::string_view key) const noexcept override;
    /// Log records within spans are not kept.
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override;
    void Log(opentracing::SystemTime timestamp,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                 fields) noexcept override;
    void Log(opentracing::SystemTime timestamp,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
                 &fields) noexcept override;
    const opentracing::SpanContext &context() const noexcept override;
    const opentracing::Tracer &tracer() const noexcept override;

private:
    std::shared_ptr<const span_tracer> m_tracer;
    span_tracer::sink m_write;
    span_identity m_identity;
    opentracing::SystemTime m_start;
    opentracing::SteadyTime m_steadyStart;
    std::string m_operation;
    nlohmann::ordered_json m_tags = nlohmann::ordered_json::object();
};

} // namespace waxwing
