#include "entry/caller_codec.h"

#include "entry/bounded_json.h"
#include "entry/cursor_codec.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace waxwing {
namespace {
constexpr std::uint32_t maxLimit = 100;
constexpr std::size_t maxKeyLength = 128;
constexpr std::size_t maxNameLength = 128;
/// Largest accepted `Request-Timeout-Ms`: one hour, far above the timeout of any policy.
constexpr std::uint64_t maxTimeoutMs = 3600000;

refusal malformed(std::string detail)
{
    return {400, "malformed", std::move(detail)};
}

refusal invalidField(std::string detail)
{
    return {422, "invalid-field", std::move(detail)};
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

/// Reads the headers that searches and commands share. Returns an error if one is invalid.
template<typename Request>
std::optional<refusal> readHeaders(const http::request &message, Request &target)
{
    if (const auto timeout = http::findHeader(message.headers, "Request-Timeout-Ms")) {
        const auto value = parseNumber<std::uint64_t>(*timeout);
        if (!value || *value == 0 || *value > maxTimeoutMs)
            return malformed("Request-Timeout-Ms: expected a whole number from 1 to 3600000");
        target.timeout = std::chrono::milliseconds(*value);
    }
    target.caller = http::findHeader(message.headers, "Caller-Id").value_or("");
    if (target.caller.size() > maxNameLength || !isPrintable(target.caller))
        return malformed("Caller-Id: expected at most 128 printable ASCII characters");
    // A malformed traceparent is ignored, as the W3C Trace Context recommendation requires.
    if (const auto header = http::findHeader(message.headers, "traceparent"))
        target.trace = trace_context::parse(*header).value_or(trace_context{});
    return std::nullopt;
}

std::optional<refusal> readCursor(std::string_view text, search_request &target)
{
    target.cursor = decodeCursor(text);
    if (!target.cursor)
        return invalidField("cursor: expected a cursor of an earlier answer");
    return std::nullopt;
}

/// Callers pass 0, which is refused, for a value that is not an unsigned number.
std::optional<refusal> readLimit(std::uint64_t limit, search_request &target)
{
    if (limit < 1 || limit > maxLimit)
        return invalidField("limit: expected a whole number from 1 to 100");
    target.limit = static_cast<std::uint32_t>(limit);
    return std::nullopt;
}

std::optional<refusal> readSearchQuery(const http::header_list &query, search_request &target)
{
    // Parameter names, unlike header names, are case-sensitive.
    const auto find = [&query](std::string_view name) -> const std::string * {
        for (const auto &[key, value] : query) {
            if (key == name)
                return &value;
        }
        return nullptr;
    };
    const auto *text = find("q");
    if (text == nullptr)
        return invalidField("q: expected a query");
    if (!isValidUtf8(*text))
        return invalidField("q: expected UTF-8");
    target.query = *text;
    if (const auto *limit = find("limit")) {
        if (auto problem = readLimit(parseNumber<std::uint64_t>(*limit).value_or(0), target))
            return problem;
    }
    const auto *cursor = find("cursor");
    return cursor == nullptr ? std::nullopt : readCursor(*cursor, target);
}

std::optional<refusal> readSearchBody(const std::string &body, search_request &target)
{
    const auto document = parseBoundedJson(body);
    if (!document.ok())
        return malformed("body: " + std::string(document.status().message()));
    if (!document->is_object())
        return invalidField("body: expected a JSON object");
    const auto query = document->find("query");
    if (query == document->end() || !query->is_string())
        return invalidField("query: expected a string");
    target.query = query->get<std::string>();
    if (const auto limit = document->find("limit"); limit != document->end()) {
        const bool isNumber = limit->is_number_unsigned();
        if (auto problem = readLimit(isNumber ? limit->get<std::uint64_t>() : 0, target))
            return problem;
    }
    const auto cursor = document->find("cursor");
    if (cursor == document->end() || cursor->is_null())
        return std::nullopt;
    return readCursor(cursor->is_string() ? cursor->get_ref<const std::string &>() : "", target);
}

std::optional<refusal> readCommandBody(const std::string &body, command_request &target)
{
    const auto document = parseBoundedJson(body);
    if (!document.ok())
        return malformed("body: " + std::string(document.status().message()));
    if (!document->is_object())
        return invalidField("body: expected a JSON object");
    for (const auto &[name, field] :
         {std::pair{"document", &target.document}, std::pair{"operation", &target.operation}}) {
        const auto found = document->find(name);
        if (found == document->end() || !found->is_string()
            || found->get_ref<const std::string &>().empty())
            return invalidField(std::string(name) + ": expected a string that is not empty");
        *field = found->get<std::string>();
    }
    target.payload = document->value("payload", nlohmann::json()).dump();
    return std::nullopt;
}

caller_request parseSearch(const http::request &message, const std::string &service)
{
    if (message.method != "GET" && message.method != "POST")
        return refusal{405, "method-not-allowed", "searches take GET and POST"};
    search_request result;
    result.service.value = service;
    auto problem = readHeaders(message, result);
    if (!problem)
        problem = message.method == "GET" ? readSearchQuery(message.query, result)
                                          : readSearchBody(message.body, result);
    if (problem)
        return *problem;
    return result;
}

caller_request parseCommand(const http::request &message, const std::string &service)
{
    if (message.method != "POST")
        return refusal{405, "method-not-allowed", "commands take POST"};
    command_request result;
    result.service.value = service;
    result.key = http::findHeader(message.headers, "Idempotency-Key").value_or("");
    if (result.key.empty() || result.key.size() > maxKeyLength || !isPrintable(result.key))
        return malformed("Idempotency-Key: expected 1 to 128 printable ASCII characters");
    auto problem = readHeaders(message, result);
    if (!problem)
        problem = readCommandBody(message.body, result);
    if (problem)
        return *problem;
    return result;
}

nlohmann::json formatAnswer(const search_answer &answer)
{
    auto hits = nlohmann::json::array();
    for (const hit &found : answer.hits)
        hits.push_back({{"id", found.id}, {"score", found.score}});
    auto missing = nlohmann::json::array();
    for (const shard_id &shard : answer.coverage.missingShards)
        missing.push_back(shard.value);
    const search_coverage &coverage = answer.coverage;
    const double ratio = coverage.documentsTotal == 0
        ? (coverage.isComplete() ? 1.0 : 0.0)
        : static_cast<double>(coverage.documentsSearched)
            / static_cast<double>(coverage.documentsTotal);
    return {
        {"service", answer.service.value},
        {"snapshot", {{"partitioning", answer.at.partitioning}, {"version", answer.at.version}}},
        {"hits", std::move(hits)},
        {"coverage",
         {{"documents_searched", coverage.documentsSearched},
          {"documents_total", coverage.documentsTotal},
          {"ratio", ratio},
          {"whole", coverage.isComplete()},
          {"missing_shards", std::move(missing)}}},
        {"cursor", answer.next ? nlohmann::json(encodeCursor(*answer.next)) : nlohmann::json()},
    };
}

http::response formatBody(const nlohmann::json &body)
{
    return http::jsonResponse(200,
                              body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

caller_request parseCallerRequest(const http::request &message)
{
    const std::vector<std::string> parts = absl::StrSplit(message.path, '/');
    const bool known = parts.size() == 5 && parts[0].empty() && parts[1] == "v1"
        && parts[2] == "services" && (parts[4] == "search" || parts[4] == "commands");
    if (!known)
        return refusal{404, "not-found", "no such path"};
    if (parts[3].empty() || parts[3].size() > maxNameLength || !isPrintable(parts[3]))
        return refusal{404, "unknown-service", "no such service"};
    return parts[4] == "search" ? parseSearch(message, parts[3]) : parseCommand(message, parts[3]);
}

http::response formatSearchOutcome(const search_outcome &outcome)
{
    if (const auto *reason = std::get_if<refusal>(&outcome))
        return http::problemResponse(*reason);
    return formatBody(formatAnswer(std::get<search_answer>(outcome)));
}

http::response formatCommandOutcome(const command_outcome &outcome)
{
    if (const auto *reason = std::get_if<refusal>(&outcome))
        return http::problemResponse(*reason);
    const auto &answer = std::get<command_answer>(outcome);
    const auto result = parseBoundedJson(answer.result);
    return formatBody({{"service", answer.service.value},
                       {"outcome", "done"},
                       {"result", result.ok() ? *result : nlohmann::json()},
                       {"replayed", answer.replayed}});
}

} // namespace waxwing
