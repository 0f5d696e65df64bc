#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/strong_id.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// Part of the index of a service.
struct shard
{
    /// Id, unique within the partitioning.
    shard_id id;
    /// Documents in the shard when the partitioning was made; replies say what it holds now.
    std::uint64_t documents = 0;
    /// Backend servers that hold the shard.
    std::vector<server_id> replicas;

    bool operator==(const shard &) const = default;
};

/// One division of the index of a service into disjoint shards.
struct partitioning
{
    /// Number of the partitioning; a newer one is higher.
    std::uint32_t generation = 0;
    /// Shards, in order of their ids.
    std::vector<shard> shards;

    bool operator==(const partitioning &) const = default;
};

/// What an answer rather is, where it cannot be both.
enum class answer_preference {
    /// Answer as soon as the wanted coverage is reached.
    Early,
    /// Wait for whole coverage until the deadline.
    Whole,
};

/// Policy of a service.
struct service_policy
{
    /// Time in which a search is answered.
    std::chrono::milliseconds deadline{1000};
    /// Share of the documents that is good enough, 0..1.
    double wantedCoverage = 1.0;
    /// What an answer rather is, early or whole.
    answer_preference prefer = answer_preference::Whole;
    /// Hedges for each request to a backend server, 0..1.
    double hedgeBudget = 0.03;
    /// Retries for each request to a backend server, 0..1.
    double retryBudget = 0.1;

    bool operator==(const service_policy &) const = default;
};

/// Query service.
struct service
{
    /// Id.
    service_id id;
    /// Partitionings in use, in order of their generations; two while it is repartitioned.
    std::vector<partitioning> partitionings;
    /// Policy.
    service_policy policy;

    bool operator==(const service &) const = default;
};

/// Backend server.
struct backend_server
{
    /// Id.
    server_id id;
    /// Availability zone.
    zone_id zone;
    /// Address of its HTTP port.
    endpoint address;
    /// Requests that it runs at a time.
    std::uint32_t slots = 1;
    /// Connections that it accepts.
    std::uint32_t connectionLimit = 25;
    /// When it leaves; from then on it gets no new work.
    std::optional<wall_time> leavesAt;

    bool operator==(const backend_server &) const = default;
};

/// The validated document that operators change. Immutable once it is parsed; shared by pointer.
struct configuration
{
    /// Grows by one with each accepted change.
    std::uint64_t revision = 0;
    /// Unique id of the change that made this revision, chosen by its sender.
    std::string changeId;
    /// Operator who made the change.
    std::string changedBy;
    /// Why the change was made.
    std::string reason;
    /// When the hosted service ends.
    wall_time shutdownAt;
    /// Whether a shard may be left without a replica after a departure.
    bool allowUncovered = false;
    /// Availability zones, in order of their ids.
    std::vector<zone_id> zones;
    /// Backend servers, in order of their ids.
    std::vector<backend_server> servers;
    /// Services, in order of their ids.
    std::vector<service> services;

    bool operator==(const configuration &) const = default;

    /// The service `id`, or null.
    const service *findService(const service_id &id) const;
    /// The backend server `id`, or null.
    const backend_server *findServer(const server_id &id) const;
};

/// A configuration as hosts keep and pass it on.
struct configuration_copy
{
    /// Parsed and checked document.
    std::shared_ptr<const configuration> document;
    /// Exact JSON text, as the platform keeps it.
    std::string text;
    /// `stableHash` of `text`.
    std::uint64_t digest = 0;

    /// Two copies are equal when their texts are.
    bool operator==(const configuration_copy &other) const { return text == other.text; }
};

} // namespace waxwing
