#include "standins/held_index.h"

#include <algorithm>

namespace waxwing::standins {

void held_index::setDocument(const server_id &server, const configuration &document,
                             const generator_map &generators)
{
    m_generators = generators;
    m_shards.clear();
    for (const service &definition : document.services) {
        for (const partitioning &division : definition.partitionings) {
            for (const shard &part : division.shards) {
                const auto &replicas = part.replicas;
                if (std::find(replicas.begin(), replicas.end(), server) != replicas.end())
                    m_shards[definition.id][part.id].push_back(division.generation);
            }
        }
    }
}

void held_index::publish(const service_id &service)
{
    for (const auto &[id, shards] : m_shards) {
        if (service.value.empty() || id == service)
            m_versions.publish(id);
    }
}

std::vector<snapshot> held_index::held(const service_id &service, const shard_id &shard) const
{
    std::vector<snapshot> result;
    const auto shards = m_shards.find(service);
    if (shards == m_shards.end())
        return result;
    const auto generations = shards->second.find(shard);
    if (generations == shards->second.end())
        return result;
    for (const std::uint32_t generation : generations->second) {
        for (const std::uint64_t version : m_versions.of(service))
            result.push_back({generation, version});
    }
    return result;
}

bool held_index::holds(const leaf_search &search) const
{
    const auto snapshots = held(search.service, search.shard);
    return std::find(snapshots.begin(), snapshots.end(), search.at) != snapshots.end();
}

leaf_answer held_index::answer(const leaf_search &search) const
{
    const document_generator &generator = *m_generators.at(search.service);
    const auto documents = generator.range(search.at.partitioning, search.shard).value();
    return {
        search.service,
        search.shard,
        search.at,
        documents.count,
        documents.count,
        generator.search(documents, search.at.version, search.query, search.limit, search.after),
        held(search.service, search.shard)};
}

nlohmann::json held_index::toJson(std::uint64_t extra) const
{
    auto result = nlohmann::json::object();
    for (const auto &[service, shards] : m_shards) {
        for (const auto &[shard, generations] : shards) {
            auto snapshots = held(service, shard);
            for (std::uint64_t i = 0; i < extra; ++i)
                snapshots.push_back({snapshots.back().partitioning, snapshots.back().version + 1});
            result[service.value][shard.value] = standins::toJson(snapshots);
        }
    }
    return result;
}

nlohmann::json toJson(const std::vector<snapshot> &held)
{
    auto result = nlohmann::json::array();
    for (const snapshot &at : held)
        result.push_back({{"partitioning", at.partitioning}, {"version", at.version}});
    return result;
}

} // namespace waxwing::standins
