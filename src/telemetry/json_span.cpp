#include "telemetry/json_span.h"

#include <absl/time/time.h>

#include <chrono>

namespace waxwing {

json_span::json_span(std::shared_ptr<const span_tracer> tracer, span_tracer::sink write,
                     std::string operation, const span_identity &identity,
                     const opentracing::StartSpanOptions &options)
    : m_tracer(std::move(tracer)), m_write(std::move(write)), m_identity(identity),
      m_start(options.start_system_timestamp), m_steadyStart(options.start_steady_timestamp),
      m_operation(std::move(operation))
{
    for (const auto &[key, value] : options.tags)
        SetTag(key, value);
}

void json_span::FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        options.finish_steady_timestamp - m_steadyStart);
    nlohmann::ordered_json line{{"trace", m_identity.ToTraceID()}, {"span", m_identity.ToSpanID()}};
    if (const std::string parent = m_identity.parentId(); !parent.empty())
        line["parent"] = parent;
    line["operation"] = m_operation;
    line["start"] =
        absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::FromChrono(m_start), absl::UTCTimeZone());
    line["duration_us"] = elapsed.count();
    line["tags"] = m_tags;
    m_write(line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

void json_span::SetOperationName(opentracing::string_view name) noexcept
{
    m_operation = name;
}

void json_span::SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept
{
    // Tags of `finished_span` are strings; other types of the interface have no use here.
    if (value.is<std::string>())
        m_tags[std::string(key)] = value.get<std::string>();
}

void json_span::SetBaggageItem(opentracing::string_view /*key*/,
                               opentracing::string_view /*value*/) noexcept
{ }

std::string json_span::BaggageItem(opentracing::string_view /*key*/) const noexcept
{
    return {};
}

void json_span::Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                    /*fields*/) noexcept
{ }

void json_span::Log(opentracing::SystemTime /*timestamp*/,
                    std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
                    /*fields*/) noexcept
{ }

void json_span::Log(opentracing::SystemTime /*timestamp*/,
                    const std::vector<std::pair<opentracing::string_view, opentracing::Value>>
                        & /*fields*/) noexcept
{ }

const opentracing::SpanContext &json_span::context() const noexcept
{
    return m_identity;
}

const opentracing::Tracer &json_span::tracer() const noexcept
{
    return *m_tracer;
}

} // namespace waxwing
