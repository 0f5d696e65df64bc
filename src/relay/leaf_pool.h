#pragma once

#include "core/random.h"
#include "relay/leaf.h"
#include "relay/zone_latencies.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::relay {

/// Policy of `leaf_pool`.
struct leaf_pool_settings
{
    /// How single servers are judged.
    leaf_settings leaves;
    /// Part of a server's connection limit that the hosts use together. The rest is for hosts
    /// that have just started and are not known to all others.
    double usedConnectionFraction = 0.85;
    /// Time by which a server in another zone of the region must be faster to be preferred; bytes
    /// between zones are paid for.
    std::chrono::milliseconds otherZoneCost{10};
    /// The same for a server in another region.
    std::chrono::milliseconds otherRegionCost{40};
    /// Time for which a server whose registration disappeared may still be used if no other can
    /// be. Registrations that lapsed in an outage of the store are back within two seconds of it,
    /// and a server that really left serves on for longer.
    std::chrono::milliseconds unlistedGracePeriod{2200};

    bool operator==(const leaf_pool_settings &) const = default;
};

/// Outcome of a choice among the servers of a service.
struct leaf_choice
{
    /// What was found.
    enum class result_kind {
        /// `server` may get the request.
        Found,
        /// Every usable server has as many requests as it may have.
        Full,
        /// No server is usable.
        None,
    };

    /// What was found.
    result_kind result = result_kind::None;
    /// The server.
    std::shared_ptr<leaf> server;
    /// Time in which it is expected to answer.
    duration expected{};
    /// Whether nothing speaks against the server: no stall, no refusal, a registration.
    bool healthy = false;
};

/// The backend servers of all services, and which of them gets a request.
///
/// The load pattern that this answers: one slow, paused, failing or silent server in the own zone
/// while the servers of other zones are healthy but far and expensive to reach.
class leaf_pool
{
public:
    /// Servers that may not be chosen.
    using leaf_list = std::vector<std::shared_ptr<leaf>>;

    leaf_pool(leaf_pool_settings settings, zone_latencies zoneLatencies);

    /// Takes over a registration. Returns the address that the server had before, if that changed.
    std::optional<endpoint> put(registered_server entry, time_point now);
    /// A registration disappeared.
    void markUnlisted(const server_id &server, time_point now);
    /// Removes the servers whose registration has been away for too long. Returns their addresses.
    std::vector<endpoint> removeUnlisted(time_point now);
    /// When `removeUnlisted` is next due.
    std::optional<time_point> nextRemoval() const { return m_removalAt; }
    /// Sets the number of hosts that share the connections, and the connection limit of services.
    void setConnections(std::size_t hosts, std::map<service_id, std::uint32_t> limits);

    /// Chooses a server that is not in `tried`. `processingTime` is the usual work of the request.
    leaf_choice choose(const service_id &service, const leaf_list &tried, duration processingTime,
                       time_point now) const;
    /// Whether the service has a server that may get requests now or soon.
    bool isServed(const service_id &service, time_point now) const;
    /// Requests of this host in progress on the servers of the service.
    std::size_t inFlight(const service_id &service) const;
    /// When the first ejected server of the service may get a trial request; empty if none waits.
    std::optional<time_point> nextTrial(const service_id &service, time_point now) const;
    /// Ids of all servers, those without a registration included.
    std::vector<server_id> ids() const;
    /// Number of servers.
    std::size_t size() const { return m_servers.size(); }
    /// Times to the zones.
    zone_latencies &zoneLatencies() { return m_zoneLatencies; }
    /// Times to the zones.
    const zone_latencies &zoneLatencies() const { return m_zoneLatencies; }

private:
    struct rating;

    void updateNextRemoval();
    void removeFromService(const std::shared_ptr<leaf> &server);
    std::size_t requestLimit(const leaf &candidate) const;
    std::optional<rating> rate(const std::shared_ptr<leaf> &candidate, duration processingTime,
                               time_point now) const;

    leaf_pool_settings m_settings;
    zone_latencies m_zoneLatencies;
    std::size_t m_hosts = 1;
    std::map<service_id, std::uint32_t> m_connectionLimits;
    /// Not later than the next removal.
    std::optional<time_point> m_removalAt;
    std::map<server_id, std::shared_ptr<leaf>> m_servers;
    absl::flat_hash_map<service_id, leaf_list> m_services;
};

} // namespace waxwing::relay
