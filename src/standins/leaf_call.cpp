#include "standins/leaf_call.h"

#include "standins/json_fields.h"

namespace waxwing::standins {
namespace {

absl::Status readSearch(const nlohmann::json &body, leaf_search &search)
{
    std::uint64_t generation = 0;
    std::uint64_t limit = search.limit;
    for (const absl::Status &status :
         {readField(body, "partitioning", generation),
          readField(body, "version", search.at.version), readField(body, "query", search.query),
          readField(body, "limit", limit)}) {
        if (!status.ok())
            return status;
    }
    search.at.partitioning = static_cast<std::uint32_t>(generation);
    search.limit = static_cast<std::uint32_t>(limit);
    const auto after = body.find("after");
    if (after == body.end() || after->is_null())
        return absl::OkStatus();
    if (!after->is_object())
        return absl::InvalidArgumentError("field 'after' must be an object");
    search.after.emplace();
    for (const absl::Status &status : {readField(*after, "id", search.after->id),
                                       readField(*after, "score", search.after->score)}) {
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<leaf_call> leaf_call::parse(const http::request &message)
{
    const auto body = parseObject(message.body);
    if (!body.ok())
        return body.status();
    leaf_call result;
    result.isCommand = message.path == "/command";
    result.requestId = body->value("request_id", nlohmann::json());
    result.payload = body->value("payload", nlohmann::json());
    if (!result.requestId.is_string() && !result.requestId.is_number_unsigned())
        return absl::InvalidArgumentError("field 'request_id' must be a string or an integer");
    for (const absl::Status &status :
         {readField(*body, "service", result.search.service.value),
          readField(*body, "shard", result.search.shard.value),
          readField(*body, "document", result.document),
          readField(*body, "operation", result.operation), readSearch(*body, result.search)}) {
        if (!status.ok())
            return status;
    }
    return result;
}

std::string leaf_call::requestKey() const
{
    return requestId.is_string() ? requestId.get<std::string>() : requestId.dump();
}

std::string leaf_call::commandKey() const
{
    return search.service.value + '/' + document + '/' + payload.dump();
}

bool leaf_call::contains(const std::string &marker) const
{
    if (marker.empty())
        return false;
    const std::string text = isCommand ? payload.dump() : search.query;
    return text.find(marker) != std::string::npos;
}

} // namespace waxwing::standins
