#include "entry/peer_codec.h"

#include "entry/bounded_json.h"
#include "membership/member_codec.h"

#include <cmath>

namespace waxwing {
namespace {

/// Longest accepted duration. Keeps sums of durations far below overflow.
constexpr std::uint64_t maxTimeMs = 24ULL * 3600 * 1000;
constexpr std::uint32_t maxLimit = 100;

void encode(const snapshot &value, wire::Snapshot &target)
{
    target.set_partitioning(value.partitioning);
    target.set_version(value.version);
}

void encode(const hit &value, wire::Hit &target)
{
    target.set_id(value.id);
    target.set_score(value.score);
}

void encode(const page_cursor &value, wire::Cursor &target)
{
    encode(value.at, *target.mutable_at());
    encode(value.after, *target.mutable_after());
}

void encode(const trace_context &value, wire::Trace &target)
{
    target.set_trace_high(value.traceHigh);
    target.set_trace_low(value.traceLow);
    target.set_span(value.span);
    target.set_sampled(value.sampled);
}

void encode(const refusal &value, wire::Refusal &target)
{
    target.set_status(value.status);
    target.set_code(value.code);
    target.set_detail(value.detail);
    target.set_execution(static_cast<std::uint32_t>(value.execution));
    target.set_retry_after_ms(static_cast<std::uint64_t>(value.retryAfter.count()));
}

std::optional<std::chrono::milliseconds> takeTime(std::uint64_t value)
{
    if (value > maxTimeMs)
        return std::nullopt;
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

snapshot decode(const wire::Snapshot &value)
{
    return {value.partitioning(), value.version()};
}

trace_context decode(const wire::Trace &value)
{
    return {value.trace_high(), value.trace_low(), value.span(), value.sampled()};
}

/// Scores that are not numbers cannot be ordered and are rejected.
std::optional<hit> decode(const wire::Hit &value)
{
    if (!std::isfinite(value.score()))
        return std::nullopt;
    return hit{value.id(), value.score()};
}

std::optional<page_cursor> decode(const wire::Cursor &value)
{
    const auto after = decode(value.after());
    if (!after)
        return std::nullopt;
    return page_cursor{decode(value.at()), *after};
}

std::optional<refusal> decode(const wire::Refusal &value)
{
    const auto retryAfter = takeTime(value.retry_after_ms());
    if (value.status() < 400 || value.status() > 599 || !retryAfter
        || value.execution() > static_cast<std::uint32_t>(execution_state::OutcomeUnknown))
        return std::nullopt;
    return refusal{value.status(), value.code(), value.detail(),
                   static_cast<execution_state>(value.execution()), *retryAfter};
}

std::optional<search_answer> decode(const wire::SearchAnswer &value)
{
    search_answer result;
    result.service.value = value.service();
    result.at = decode(value.at());
    for (const auto &found : value.hits()) {
        const auto decoded = decode(found);
        if (!decoded || (!result.hits.empty() && !ranksBefore(result.hits.back(), *decoded)))
            return std::nullopt;
        result.hits.push_back(*decoded);
    }
    if (value.documents_searched() > value.documents_total())
        return std::nullopt;
    result.coverage.documentsSearched = value.documents_searched();
    result.coverage.documentsTotal = value.documents_total();
    for (const auto &shard : value.missing_shards())
        result.coverage.missingShards.push_back({shard});
    if (value.has_next()) {
        result.next = decode(value.next());
        if (!result.next)
            return std::nullopt;
    }
    return result;
}

} // namespace

wire::SearchRequest toWire(const search_request &value)
{
    wire::SearchRequest target;
    target.set_service(value.service.value);
    target.set_query(value.query);
    target.set_limit(value.limit);
    if (value.cursor)
        encode(*value.cursor, *target.mutable_cursor());
    target.set_timeout_ms(static_cast<std::uint64_t>(value.timeout.count()));
    target.set_caller(value.caller);
    encode(value.trace, *target.mutable_trace());
    return target;
}

wire::SearchReply toWire(const search_outcome &value)
{
    wire::SearchReply target;
    if (const auto *reason = std::get_if<refusal>(&value)) {
        encode(*reason, *target.mutable_refusal());
        return target;
    }
    const auto &source = std::get<search_answer>(value);
    wire::SearchAnswer &answer = *target.mutable_answer();
    answer.set_service(source.service.value);
    encode(source.at, *answer.mutable_at());
    for (const hit &found : source.hits)
        encode(found, *answer.add_hits());
    answer.set_documents_searched(source.coverage.documentsSearched);
    answer.set_documents_total(source.coverage.documentsTotal);
    for (const shard_id &shard : source.coverage.missingShards)
        answer.add_missing_shards(shard.value);
    if (source.next)
        encode(*source.next, *answer.mutable_next());
    return target;
}

wire::CommandRequest toWire(const command_request &value)
{
    wire::CommandRequest target;
    target.set_service(value.service.value);
    target.set_key(value.key);
    target.set_document(value.document);
    target.set_operation(value.operation);
    target.set_payload(value.payload);
    target.set_timeout_ms(static_cast<std::uint64_t>(value.timeout.count()));
    target.set_caller(value.caller);
    encode(value.trace, *target.mutable_trace());
    return target;
}

wire::CommandReply toWire(const command_outcome &value)
{
    wire::CommandReply target;
    if (const auto *reason = std::get_if<refusal>(&value)) {
        encode(*reason, *target.mutable_refusal());
        return target;
    }
    const auto &source = std::get<command_answer>(value);
    target.mutable_answer()->set_service(source.service.value);
    target.mutable_answer()->set_result(source.result);
    target.mutable_answer()->set_replayed(source.replayed);
    return target;
}

wire::StateReply toWire(const peer_state &value)
{
    wire::StateReply target;
    for (const member &known : value.members)
        toWire(known, *target.add_members());
    for (const fact &known : value.facts)
        toWire(known, *target.add_facts());
    target.set_configuration(value.configurationText);
    return target;
}

std::optional<search_request> fromWire(const wire::SearchRequest &value)
{
    const auto timeout = takeTime(value.timeout_ms());
    if (!timeout || value.limit() < 1 || value.limit() > maxLimit)
        return std::nullopt;
    search_request result{{value.service()}, value.query(),  value.limit(),        {},
                          *timeout,          value.caller(), decode(value.trace())};
    if (value.has_cursor()) {
        result.cursor = decode(value.cursor());
        if (!result.cursor)
            return std::nullopt;
    }
    return result;
}

std::optional<search_outcome> fromWire(const wire::SearchReply &value)
{
    if (value.has_answer()) {
        auto answer = decode(value.answer());
        return answer ? std::optional<search_outcome>(*std::move(answer)) : std::nullopt;
    }
    auto reason = value.has_refusal() ? decode(value.refusal()) : std::nullopt;
    return reason ? std::optional<search_outcome>(*std::move(reason)) : std::nullopt;
}

std::optional<command_request> fromWire(const wire::CommandRequest &value)
{
    const auto timeout = takeTime(value.timeout_ms());
    if (!timeout || value.key().empty() || !parseBoundedJson(value.payload()).ok())
        return std::nullopt;
    return command_request{{value.service()}, value.key(), value.document(), value.operation(),
                           value.payload(),   *timeout,    value.caller(),   decode(value.trace())};
}

std::optional<command_outcome> fromWire(const wire::CommandReply &value)
{
    if (value.has_answer()) {
        const auto &answer = value.answer();
        if (!parseBoundedJson(answer.result()).ok())
            return std::nullopt;
        return command_answer{{answer.service()}, answer.result(), answer.replayed()};
    }
    auto reason = value.has_refusal() ? decode(value.refusal()) : std::nullopt;
    return reason ? std::optional<command_outcome>(*std::move(reason)) : std::nullopt;
}

std::optional<peer_state> fromWire(const wire::StateReply &value)
{
    peer_state result;
    for (const auto &known : value.members()) {
        auto decoded = fromWire(known);
        if (!decoded)
            return std::nullopt;
        result.members.push_back(*std::move(decoded));
    }
    for (const auto &known : value.facts()) {
        auto decoded = fromWire(known);
        if (!decoded)
            return std::nullopt;
        result.facts.push_back(*std::move(decoded));
    }
    result.configurationText = value.configuration();
    return result;
}

} // namespace waxwing
