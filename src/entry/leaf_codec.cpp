#include "entry/leaf_codec.h"

#include "entry/bounded_json.h"
#include "entry/json_fields.h"
#include "entry/retry_after.h"

#include <algorithm>

namespace waxwing {
namespace {

leaf_failure malformed(std::string detail)
{
    return {leaf_error::Malformed, std::move(detail), {}, {}};
}

leaf_failure transportFailure(const http::transport_failure &failure)
{
    switch (failure.error) {
    case http::transport_error::NoFreeConnection:
    case http::transport_error::ConnectFailed:
        return {leaf_error::NotConnected, failure.detail, {}, {}};
    case http::transport_error::ConnectionLost:
        return {leaf_error::ConnectionLost, failure.detail, {}, {}};
    case http::transport_error::Timeout:
        return {leaf_error::Timeout, failure.detail, {}, {}};
    case http::transport_error::Malformed:
        return {leaf_error::Malformed, failure.detail, {}, {}};
    }
    return {leaf_error::ConnectionLost, failure.detail, {}, {}};
}

/// Maps the body of a 503 to an error. The request counts as not run only if the body states it; an
/// unknown reason counts as a failure.
leaf_error refusalError(const nlohmann::json &body)
{
    if (textField(body, "execution") != "not-run")
        return leaf_error::Failed;
    const std::string title = textField(body, "title").value_or("");
    const std::string type = textField(body, "type").value_or("");
    const auto names = [&](const char *reason) {
        return title == reason || type.ends_with(reason);
    };
    if (names("overloaded"))
        return leaf_error::Overloaded;
    if (names("draining"))
        return leaf_error::Draining;
    // The server is up, but its connection limit leaves no connection for this host.
    if (names("connection-limit"))
        return leaf_error::NotConnected;
    return leaf_error::Failed;
}

leaf_failure statusFailure(const http::response &message)
{
    const auto parsed = parseBoundedJson(message.body);
    const nlohmann::json body = parsed.ok() ? *parsed : nlohmann::json();
    leaf_failure result{leaf_error::Failed,
                        "status " + std::to_string(message.status),
                        readRetryAfter(message),
                        {}};
    if (const auto detail = textField(body, "detail"))
        result.detail += ": " + *detail;
    if (message.status == 499)
        result.error = leaf_error::Cancelled;
    else if (message.status == 504)
        result.error = leaf_error::Timeout;
    else if (message.status == 503)
        result.error = refusalError(body);
    else if (message.status == 409) {
        // Without the list of snapshots in the 409, no other snapshot can be chosen.
        if (const auto held = readSnapshots(findField(body, "held")))
            result = {leaf_error::VersionNotHeld, result.detail, result.retryAfter, *held};
    }
    return result;
}

std::optional<std::vector<hit>> readHits(const nlohmann::json *list, std::size_t most)
{
    if (list == nullptr || !list->is_array() || list->size() > most)
        return std::nullopt;
    std::vector<hit> result;
    for (const auto &element : *list) {
        auto id = textField(element, "id");
        const auto *score = findField(element, "score");
        if (!id || score == nullptr || !score->is_number())
            return std::nullopt;
        result.push_back({std::move(*id), score->get<double>()});
    }
    return result;
}

/// Checks that the hits are sorted and all follow the last hit of the previous page.
bool areOrdered(const std::vector<hit> &hits, const std::optional<hit> &after)
{
    if (after && !hits.empty() && !ranksBefore(*after, hits.front()))
        return false;
    return std::adjacent_find(
               hits.begin(), hits.end(),
               [](const hit &left, const hit &right) { return !ranksBefore(left, right); })
        == hits.end();
}

leaf_outcome readSearchBody(const std::string &requestId, const leaf_search &search,
                            const nlohmann::json &body)
{
    if (textField(body, "request_id") != requestId)
        return malformed("the reply belongs to another request");
    if (textField(body, "service") != search.service.value
        || textField(body, "shard") != search.shard.value || readSnapshot(body) != search.at)
        return malformed("the reply is from another service, shard or snapshot");
    const auto searched = numberField(body, "documents_searched");
    const auto total = numberField(body, "documents_total");
    if (!searched || !total || *searched > *total)
        return malformed("documents_searched or documents_total is missing, or documents_searched "
                         "exceeds documents_total");
    auto hits = readHits(findField(body, "hits"), search.limit);
    if (!hits || !areOrdered(*hits, search.after))
        return malformed("hits are malformed, too many or out of order");
    auto held = readSnapshots(findField(body, "held"));
    if (!held)
        return malformed("held is malformed");
    return leaf_answer{search.service, search.shard,     search.at,       *searched,
                       *total,         std::move(*hits), std::move(*held)};
}

} // namespace

std::string formatLeafSearch(const std::string &requestId, const leaf_search &search)
{
    nlohmann::json body{
        {"request_id", requestId},      {"service", search.service.value},
        {"shard", search.shard.value},  {"partitioning", search.at.partitioning},
        {"version", search.at.version}, {"query", search.query},
        {"limit", search.limit},
    };
    if (search.after)
        body["after"] = {{"score", search.after->score}, {"id", search.after->id}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatLeafCommand(const std::string &requestId, const leaf_command &command)
{
    const auto payload = parseBoundedJson(command.payload);
    const nlohmann::json body{
        {"request_id", requestId},        {"service", command.service.value},
        {"shard", command.shard.value},   {"document", command.document},
        {"operation", command.operation}, {"payload", payload.ok() ? *payload : nlohmann::json()},
    };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

leaf_outcome readLeafSearch(const std::string &requestId, const leaf_search &search,
                            const http::client::outcome &outcome)
{
    if (const auto *failure = std::get_if<http::transport_failure>(&outcome))
        return transportFailure(*failure);
    const auto &message = std::get<http::response>(outcome);
    if (message.status != 200)
        return statusFailure(message);
    const auto body = parseBoundedJson(message.body);
    if (!body.ok())
        return malformed(std::string(body.status().message()));
    return readSearchBody(requestId, search, *body);
}

std::variant<leaf_command_answer, leaf_failure>
readLeafCommand(const std::string &requestId, const http::client::outcome &outcome)
{
    if (const auto *failure = std::get_if<http::transport_failure>(&outcome))
        return transportFailure(*failure);
    const auto &message = std::get<http::response>(outcome);
    if (message.status != 200)
        return statusFailure(message);
    const auto body = parseBoundedJson(message.body);
    if (!body.ok())
        return malformed(std::string(body.status().message()));
    if (textField(*body, "request_id") != requestId)
        return malformed("the reply belongs to another request");
    const auto *result = findField(*body, "result");
    if (result == nullptr)
        return malformed("result is missing");
    return leaf_command_answer{result->dump()};
}

std::optional<leaf_health> readLeafHealth(const http::response &message)
{
    const auto body = parseBoundedJson(message.body);
    if (message.status != 200 || !body.ok())
        return std::nullopt;
    const auto status = textField(*body, "status");
    const auto *held = findField(*body, "held");
    if (!status || held == nullptr || !held->is_object())
        return std::nullopt;
    leaf_health result{*status == "draining", *status == "starting", {}};
    for (const auto &[service, shards] : held->items()) {
        if (!shards.is_object())
            return std::nullopt;
        for (const auto &[shard, list] : shards.items()) {
            auto snapshots = readSnapshots(&list);
            if (!snapshots)
                return std::nullopt;
            result.shards.push_back({{service}, {shard}, std::move(*snapshots)});
        }
    }
    return result;
}

} // namespace waxwing
