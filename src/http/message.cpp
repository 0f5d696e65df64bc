#include "http/message.h"

#include "core/text.h"

#include <nlohmann/json.hpp>

#include <strings.h>

namespace waxwing::http {

const std::string *findField(const header_list &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (equalsIgnoringCase(field, name))
            return &value;
    }
    return nullptr;
}

std::optional<std::string> findHeader(const header_list &headers, std::string_view name)
{
    const std::string *value = findField(headers, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(*value);
}

response jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

response problemResponse(const refusal &reason)
{
    nlohmann::json body{
        {"type", "urn:waxwingdyke:problem:" + reason.code},
        {"title", reason.code},
        {"status", reason.status},
        {"detail", reason.detail},
        {"execution", reason.execution == execution_state::NotRun ? "not-run" : "outcome-unknown"},
    };
    response result{reason.status, {{"Content-Type", "application/problem+json"}}, {}};
    if (reason.retryAfter.count() > 0) {
        body["retry_after_ms"] = reason.retryAfter.count();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(reason.retryAfter);
        result.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    // Invalid UTF-8 in a detail is replaced, so that every refusal can be sent.
    result.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return result;
}

} // namespace waxwing::http
