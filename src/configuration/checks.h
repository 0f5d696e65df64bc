#pragma once

#include "configuration/configuration.h"
#include "configuration/parse.h"

#include <string>
#include <vector>

namespace waxwing {

/// A shard that has no replica from some time before the shutdown on.
struct uncovered_shard
{
    /// JSON pointer to the shard, by position in the document.
    std::string field;
    /// Service of the shard.
    service_id service;
    /// Generation of the partitioning of the shard.
    std::uint32_t generation = 0;
    /// Shard.
    shard_id shard;
    /// When the last replica leaves; empty if the shard has no replica at all.
    std::optional<wall_time> since;

    bool operator==(const uncovered_shard &) const = default;
};

/// Ids: their form, and duplicates.
void checkStructure(const configuration &document, std::vector<configuration_problem> &problems);

/// Zones of backend servers and backend servers of shards exist, and each is named once.
void checkReferences(const configuration &document, std::vector<configuration_problem> &problems);

/// Shards without a replica before the shutdown. Servers are looked up by a linear index, so the
/// document need not be sorted.
std::vector<uncovered_shard> findUncoveredShards(const configuration &document);

/// Every shard keeps a replica until the shutdown, unless the document allows uncovered shards.
void checkDepartures(const configuration &document, std::vector<configuration_problem> &problems);

/// Backend servers accept the connections that their services need at the least.
void checkConnectionLimits(const configuration &document,
                           std::vector<configuration_problem> &problems);

/// No departure is after the shutdown.
void checkTimes(const configuration &document, std::vector<configuration_problem> &problems);

} // namespace waxwing
