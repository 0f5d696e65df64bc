#include "entry/platform_codec.h"

#include "entry/bounded_json.h"
#include "entry/json_fields.h"

#include <algorithm>
#include <charconv>

namespace waxwing {
namespace {

using method_kind = platform_call::method_kind;
using status_kind = platform_result::status_kind;

bool isChange(const platform_call &call)
{
    return call.method == method_kind::Create || call.method == method_kind::Update;
}

/// Result of a call without a usable response. A read has no effect, so its outcome is never
/// unknown.
platform_result resultWithoutResponse(const platform_call &call, std::string detail)
{
    return {
        isChange(call) ? status_kind::Unknown : status_kind::Unavailable, 0, {}, std::move(detail)};
}

std::optional<std::uint64_t> readEtag(const http::response &message)
{
    const std::string text = http::findHeader(message.headers, "ETag").value_or("");
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    std::uint64_t version = 0;
    const char *end = text.data() + text.size() - 1;
    const auto parsed = std::from_chars(text.data() + 1, end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return version;
}

/// Parses the object in the body of a response.
platform_result readObject(const platform_call &call, status_kind status,
                           const http::response &message)
{
    const auto body = parseBoundedJson(message.body);
    if (!body.ok())
        return resultWithoutResponse(call, "body: " + std::string(body.status().message()));
    const auto version = numberField(*body, "version");
    const auto *value = findField(*body, "value");
    if (textField(*body, "kind") != call.kind || textField(*body, "name") != call.name || !version
        || value == nullptr)
        return resultWithoutResponse(call, "the response does not contain the requested object");
    // Serializing the parsed value gives every host the same text, whatever white space was sent.
    return {status, *version, value->dump(), {}};
}

platform_result readStored(const platform_call &call, const http::response &message)
{
    const auto version = readEtag(message);
    if (!version)
        return resultWithoutResponse(call, "the response has no ETag");
    return {status_kind::Done, *version, call.value, {}};
}

platform_result readRead(const platform_call &call, const http::response &message)
{
    if (call.method != method_kind::ListHosts)
        return readObject(call, status_kind::Done, message);
    const auto body = parseBoundedJson(message.body);
    if (!body.ok())
        return resultWithoutResponse(call, "body: " + std::string(body.status().message()));
    return {status_kind::Done, 0, body->dump(), {}};
}

platform_result readStatus(const platform_call &call, const http::response &message)
{
    const std::string detail = "status " + std::to_string(message.status);
    const bool isWatch = call.method == method_kind::Watch;
    if (message.status == 200 || message.status == 201)
        return isChange(call) ? readStored(call, message) : readRead(call, message);
    if (message.status == 304 && isWatch)
        return {status_kind::NotModified, call.version, {}, {}};
    if (message.status == 404)
        return {status_kind::NotFound, 0, {}, detail};
    if (message.status == 412 && isChange(call)) {
        // The condition did not hold, so nothing took effect even if the object cannot be read.
        auto result = readObject(call, status_kind::Conflict, message);
        if (result.status != status_kind::Conflict)
            result.status = status_kind::Unavailable;
        return result;
    }
    // The platform rejects with 4xx and 503 before it changes anything; after other errors the
    // change may have taken effect.
    if ((message.status >= 400 && message.status < 500) || message.status == 503)
        return {status_kind::Unavailable, 0, {}, detail};
    return resultWithoutResponse(call, detail);
}

} // namespace

http::request formatPlatformCall(const platform_call &call)
{
    http::request message{"GET", "/objects/" + call.kind + "/" + call.name, {}, {}, {}};
    switch (call.method) {
    case method_kind::Get:
        break;
    case method_kind::Create:
    case method_kind::Update:
        message.method = "PUT";
        message.body = call.value;
        message.headers.emplace_back("Content-Type", "application/json");
        if (call.method == method_kind::Create)
            message.headers.emplace_back("If-None-Match", "*");
        else
            message.headers.emplace_back("If-Match", "\"" + std::to_string(call.version) + "\"");
        break;
    case method_kind::Watch:
        message.query = {{"after", std::to_string(call.version)},
                         {"wait_ms", std::to_string(call.timeout.count())}};
        break;
    case method_kind::ListHosts:
        message.path = "/hosts";
        break;
    }
    return message;
}

platform_result readPlatformResult(const platform_call &call, const http::client::outcome &outcome)
{
    if (const auto *failure = std::get_if<http::transport_failure>(&outcome)) {
        if (!http::mayHaveBeenReceived(failure->error))
            return {status_kind::Unavailable, 0, {}, failure->detail};
        return resultWithoutResponse(call, failure->detail);
    }
    return readStatus(call, std::get<http::response>(outcome));
}

} // namespace waxwing
