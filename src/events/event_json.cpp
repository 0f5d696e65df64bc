#include "events/event_json.h"

#include "configuration/parse.h"
#include "events/json_values.h"

namespace waxwing {

template<>
constexpr const char *jsonName<tick> = "tick";
template<>
constexpr const char *jsonName<started> = "started";
template<>
constexpr const char *jsonName<stop_requested> = "stop_requested";
template<>
constexpr const char *jsonName<search_received> = "search_received";
template<>
constexpr const char *jsonName<command_received> = "command_received";
template<>
constexpr const char *jsonName<caller_gone> = "caller_gone";
template<>
constexpr const char *jsonName<leaf_search_finished> = "leaf_search_finished";
template<>
constexpr const char *jsonName<leaf_command_finished> = "leaf_command_finished";
template<>
constexpr const char *jsonName<leaf_health_reported> = "leaf_health_reported";
template<>
constexpr const char *jsonName<forwarded_search_finished> = "forwarded_search_finished";
template<>
constexpr const char *jsonName<forwarded_command_finished> = "forwarded_command_finished";
template<>
constexpr const char *jsonName<platform_finished> = "platform_finished";
template<>
constexpr const char *jsonName<datagram_received> = "datagram_received";
template<>
constexpr const char *jsonName<peer_state_fetched> = "peer_state_fetched";
template<>
constexpr const char *jsonName<search_answer> = "answer";
template<>
constexpr const char *jsonName<command_answer> = "answer";
template<>
constexpr const char *jsonName<leaf_answer> = "answer";
template<>
constexpr const char *jsonName<leaf_command_answer> = "answer";
template<>
constexpr const char *jsonName<refusal> = "refusal";
template<>
constexpr const char *jsonName<leaf_failure> = "failure";
template<>
constexpr const char *jsonName<forward_failure> = "failure";
template<>
constexpr const char *jsonName<search_outcome> = "outcome";
template<>
constexpr const char *jsonName<command_outcome> = "outcome";

// The macros must be in the namespace of the types because nlohmann json finds their functions by
// argument-dependent lookup.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint, address, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(trace_context, traceHigh, traceLow, span, sampled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(refusal, status, code, detail, execution, retryAfter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot, partitioning, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hit, id, score)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(page_cursor, at, after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(search_request, service, query, limit, cursor, timeout, caller,
                                   trace)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(search_coverage, documentsSearched, documentsTotal,
                                   missingShards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(search_answer, service, at, hits, coverage, next)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_answer, service, shard, at, documentsSearched,
                                   documentsTotal, hits, held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_failure, error, detail, retryAfter, held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_health::held_shard, service, shard, held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_health, draining, starting, shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(command_request, service, key, document, operation, payload,
                                   timeout, caller, trace)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(command_answer, service, result, replayed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_command_answer, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_result, status, version, value, detail)
// Recordings of earlier versions have no rate of the link.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(member, host, zone, gossip, peer, incarnation,
                                                state, configurationRevision, linkMbps)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fact, kind, subject, origin, sequence, value, validFor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(gossip_message, kind, sender, configurationDigest, probe, target,
                                   updates, facts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_state, members, facts, configurationText)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(started, self, seeds, randomSeed, seedPeers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(search_received, id, request, forwarded)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(command_received, id, request, forwarded)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_gone, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_search_finished, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_command_finished, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(leaf_health_reported, server, health)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forward_failure, mayHaveBeenReceived, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forwarded_search_finished, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(forwarded_command_finished, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(datagram_received, from, message)

} // namespace waxwing

// nlohmann json requires these function names.
// NOLINTBEGIN(readability-identifier-naming)

/// Writes a configuration as its exact text, which is parsed and validated again on reading.
template<>
struct nlohmann::adl_serializer<waxwing::configuration_copy>
{
    static void to_json(json &target, const waxwing::configuration_copy &copy)
    {
        target = copy.document == nullptr ? json() : json(copy.text);
    }
    static void from_json(const json &source, waxwing::configuration_copy &copy)
    {
        copy = {};
        if (source.is_null())
            return;
        auto parsed = waxwing::parseConfiguration(source.get<std::string>());
        if (!parsed.ok())
            throw std::invalid_argument(std::string(parsed.status().message()));
        copy = *std::move(parsed);
    }
};

/// Writes an event without fields as an empty object.
template<>
struct nlohmann::adl_serializer<waxwing::tick>
{
    static void to_json(json &target, const waxwing::tick & /*value*/) { target = json::object(); }
    static void from_json(const json & /*source*/, waxwing::tick & /*value*/) { }
};

/// Writes an event without fields as an empty object.
template<>
struct nlohmann::adl_serializer<waxwing::stop_requested>
{
    static void to_json(json &target, const waxwing::stop_requested & /*value*/)
    {
        target = json::object();
    }
    static void from_json(const json & /*source*/, waxwing::stop_requested & /*value*/) { }
};

// NOLINTEND(readability-identifier-naming)

namespace waxwing {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_finished, attempt, result, parsed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_state_fetched, attempt, succeeded, state, parsed)

std::string formatEvent(const event &input)
{
    const nlohmann::json line{{"at", input.at}, {"wall", input.wall}, {"body", input.body}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<event> parseEvent(std::string_view line)
{
    // nlohmann json reports missing and mistyped fields only by exceptions.
    try {
        const auto source = nlohmann::json::parse(line);
        return event{source.at("at").get<time_point>(), source.at("wall").get<wall_time>(),
                     source.at("body").get<event_body>()};
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace waxwing
