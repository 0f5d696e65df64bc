#include "configuration/document_json.h"
#include "configuration/wall_time_text.h"

namespace waxwing {
namespace {

using nlohmann::json;

json writeServer(const backend_server &server)
{
    json result{
        {"id", server.id.value},
        {"zone", server.zone.value},
        {"address", server.address.toString()},
        {"slots", server.slots},
        {"connection_limit", server.connectionLimit},
    };
    if (server.leavesAt)
        result["leaves_at"] = formatWallTime(*server.leavesAt);
    return result;
}

json writePartitioning(const partitioning &part)
{
    json shards = json::array();
    for (const auto &piece : part.shards) {
        json replicas = json::array();
        for (const auto &replica : piece.replicas)
            replicas.push_back(replica.value);
        shards.push_back(
            {{"id", piece.id.value}, {"documents", piece.documents}, {"replicas", replicas}});
    }
    return {{"generation", part.generation}, {"shards", shards}};
}

json writePolicy(const service_policy &policy)
{
    return {
        {"deadline_ms", policy.deadline.count()},
        {"wanted_coverage", policy.wantedCoverage},
        {"prefer", policy.prefer == answer_preference::Early ? "early" : "whole"},
        {"hedge_budget", policy.hedgeBudget},
        {"retry_budget", policy.retryBudget},
    };
}

} // namespace

json writeService(const service &value)
{
    json parts = json::array();
    for (const auto &part : value.partitionings)
        parts.push_back(writePartitioning(part));
    return {
        {"id", value.id.value}, {"partitionings", parts}, {"policy", writePolicy(value.policy)}};
}

json writeDocument(const configuration &document)
{
    json result{
        {"revision", document.revision},
        {"change_id", document.changeId},
        {"changed_by", document.changedBy},
        {"reason", document.reason},
        {"shutdown_at", formatWallTime(document.shutdownAt)},
        {"zones", json::array()},
        {"backend_servers", json::array()},
        {"services", json::array()},
    };
    if (document.allowUncovered)
        result["allow_uncovered"] = true;
    for (const auto &zone : document.zones)
        result["zones"].push_back(zone.value);
    for (const auto &server : document.servers)
        result["backend_servers"].push_back(writeServer(server));
    for (const auto &owner : document.services)
        result["services"].push_back(writeService(owner));
    return result;
}

} // namespace waxwing
