#pragma once

#include "configuration/configuration.h"
#include "standins/document_generator.h"
#include "standins/held_versions.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <vector>

namespace waxwing::standins {

/// Hits of each service, shared by the servers of a process.
using generator_map = std::map<service_id, std::shared_ptr<const document_generator>>;

/// Shards and index versions that one backend server holds.
class held_index
{
public:
    /// Takes over the shards of which `server` is a replica. Versions are kept.
    void setDocument(const server_id &server, const configuration &document,
                     const generator_map &generators);
    /// Adds the next index version of a service, or of all services where `service` is empty.
    void publish(const service_id &service);
    /// Snapshots held of a shard, in order; empty if there are none.
    std::vector<snapshot> held(const service_id &service, const shard_id &shard) const;
    /// Whether the snapshot of the search is held.
    bool holds(const leaf_search &search) const;
    /// Whether any shard of the service is held.
    bool serves(const service_id &service) const { return m_shards.count(service) != 0; }
    /// Reply to a search whose snapshot is held.
    leaf_answer answer(const leaf_search &search) const;
    /// The form of `held` in `GET /health`; `extra` adds that many versions that are not held.
    nlohmann::json toJson(std::uint64_t extra) const;

private:
    /// Generations of the partitionings in which each shard is held.
    std::map<service_id, std::map<shard_id, std::vector<std::uint32_t>>> m_shards;
    generator_map m_generators;
    held_versions m_versions;
};

/// JSON form of a list of snapshots.
nlohmann::json toJson(const std::vector<snapshot> &held);

} // namespace waxwing::standins
