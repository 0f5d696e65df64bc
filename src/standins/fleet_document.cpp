#include "standins/fleet_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwing::standins {
namespace {

using nlohmann::json;

backend_server readServer(const json &document)
{
    backend_server result;
    result.id.value = document.at("id").get<std::string>();
    result.zone.value = document.at("zone").get<std::string>();
    result.address =
        endpoint::parse(document.at("address").get<std::string>()).value_or(endpoint{});
    result.slots = document.at("slots").get<std::uint32_t>();
    result.connectionLimit = document.at("connection_limit").get<std::uint32_t>();
    return result;
}

partitioning readPartitioning(const json &document)
{
    partitioning result;
    result.generation = document.at("generation").get<std::uint32_t>();
    for (const json &part : document.at("shards")) {
        shard added;
        added.id.value = part.at("id").get<std::string>();
        added.documents = part.at("documents").get<std::uint64_t>();
        for (const json &replica : part.at("replicas"))
            added.replicas.push_back({replica.get<std::string>()});
        result.shards.push_back(std::move(added));
    }
    return result;
}

configuration readDocument(const json &document)
{
    configuration result;
    for (const json &server : document.at("backend_servers"))
        result.servers.push_back(readServer(server));
    for (const json &element : document.at("services")) {
        service added;
        added.id.value = element.at("id").get<std::string>();
        for (const json &division : element.at("partitionings"))
            added.partitionings.push_back(readPartitioning(division));
        result.services.push_back(std::move(added));
    }
    const auto byId = [](const auto &left, const auto &right) { return left.id < right.id; };
    std::sort(result.servers.begin(), result.servers.end(), byId);
    std::sort(result.services.begin(), result.services.end(), byId);
    return result;
}

} // namespace

absl::StatusOr<configuration> parseFleetDocument(std::string_view text)
{
    try {
        configuration result = readDocument(json::parse(text));
        for (const backend_server &server : result.servers) {
            if (server.address.address.empty())
                return absl::InvalidArgumentError("malformed address of " + server.id.value);
        }
        return result;
    } catch (const json::exception &error) {
        // The JSON library reports missing fields and wrong types by exceptions only.
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace waxwing::standins
