#pragma once

#include "balancing/server_choice.h"
#include "coordinators/coordinator_set.h"
#include "core/random.h"
#include "placement/placement.h"
#include "relay/leaf.h"
#include "relay/zone_latencies.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::relay {

/// Settings of `leaf_pool`.
struct leaf_pool_settings
{
    /// Settings of each server.
    leaf_settings leaves;
    /// Fraction of a server's connection limit that all hosts use together. The rest is for hosts
    /// that have just started and are not in the member lists of all other hosts yet.
    double usedConnectionFraction = 0.85;
    /// Time by which a server in another zone of the region must be faster to be preferred, since
    /// traffic between zones is charged for.
    std::chrono::milliseconds otherZoneCost{10};
    /// Time by which a server in another region must be faster to be preferred.
    std::chrono::milliseconds otherRegionCost{40};
    /// Time for which a server whose registration disappeared remains usable if no registered one
    /// is. Registrations that expired during an outage of the store return within two seconds after
    /// it, and a server that was deregistered continues to serve for longer than this.
    std::chrono::milliseconds unlistedGracePeriod{2200};
    /// Choice among servers of about equal cost.
    server_choice_settings choice{};
    /// Whether hosts of the zone tell each other which servers are slow.
    bool sharesObservations = false;

    bool operator==(const leaf_pool_settings &) const = default;
};

/// Result of `leaf_pool::choose`.
struct leaf_choice
{
    /// Whether a server was found, and why not.
    enum class result_kind {
        /// `server` can receive the request.
        Found,
        /// Every usable server has reached its limit of requests in progress or has to wait for its
        /// turn.
        Full,
        /// Every server is ejected, paused, leaving or was tried before, or the service has none.
        None,
    };

    result_kind result = result_kind::None;
    /// Null unless `result` is `Found`.
    std::shared_ptr<leaf> server;
    /// Expected time from sending the request to its answer.
    duration expected{};
    /// Whether the server is registered, not stalled and has not refused requests recently.
    bool healthy = false;
};

/// Identifies a server and its start in observations that hosts share.
std::uint64_t observationKey(const registered_server &entry);

/// Backend servers of all services, from which a server is chosen for each request.
///
/// Handles a slow, paused, failing or unresponsive server in the own zone while the servers in
/// other zones are healthy but have a higher latency and cost.
class leaf_pool
{
public:
    using leaf_list = std::vector<std::shared_ptr<leaf>>;

    /// Number of departed servers that are remembered.
    static constexpr std::size_t maxDeparted = 10000;

    leaf_pool(leaf_pool_settings settings, zone_latencies zoneLatencies);

    /// Adds or updates the server of a registration. Returns its previous address if that changed.
    std::optional<endpoint> put(registered_server entry, time_point now);
    /// Records that a registration disappeared. `removeUnlisted` removes the server after
    /// `unlistedGracePeriod` unless it is registered again.
    void markUnlisted(const server_id &server, time_point now);
    /// Returns and clears the `observationKey` of the starts of servers that ended without notice
    /// since the last call: the registration disappeared, or names a later start.
    std::vector<std::uint64_t> takeEnded();
    /// Removes servers that have been unregistered for `unlistedGracePeriod`. Returns their
    /// addresses.
    std::vector<endpoint> removeUnlisted(time_point now);
    /// When `removeUnlisted` is due next; empty if every server is registered.
    std::optional<time_point> nextRemoval() const { return m_removalAt; }
    /// Sets the number of hosts that share connections and rate limits, and the connection limit
    /// per server of each service.
    void setConnections(std::size_t hosts, std::map<service_id, std::uint32_t> limits,
                        time_point now);

    /// Sets the share of this host in the servers of some services. It replaces the equal division
    /// among all hosts there.
    void setShares(std::map<service_id, coordinator_share> shares, time_point now);

    /// Sets the least number of hosts that the rates of cold servers are divided among, for a host
    /// that does not know how many there are.
    void setLeastColdHosts(std::size_t hosts, time_point now);
    /// Sets the rates of cold servers of each service. `phase` is that of `rate_limit_share`.
    void setColdRates(std::map<service_id, cold_rate> rates, double phase, time_point now);
    /// Records that a zone is used again. Its servers may be cold, since they had no requests.
    void onZoneReturned(const zone_id &zone, time_point now);

    // Only servers in zones that `where` allows count in the following functions.

    /// Chooses a server that is not in `tried`: the one with the lowest expected time and cost, or
    /// one that costs about the same; see `server_choice`. `processingTime` is the usual processing
    /// time of the request.
    leaf_choice choose(const service_id &service, const placement &where, const leaf_list &tried,
                       duration processingTime, random_engine &random, time_point now) const;
    /// Whether the service has a server that is neither leaving, paused nor ejected. It may be at
    /// its limit.
    bool isServed(const service_id &service, const placement &where, time_point now) const;
    /// Number of requests from this host that the servers of the service can take until `until`, if
    /// they take `processingTime` each. One more is added to the requests in progress on servers
    /// without a rate limit.
    std::size_t roomUntil(const service_id &service, const placement &where,
                          duration processingTime, time_point now, time_point until) const;
    /// Earliest time at which an ejected or paused server of the service, or one that has to wait
    /// for its turn, may receive a request, at least `now`; empty if there is none.
    std::optional<time_point> usableAt(const service_id &service, const placement &where,
                                       time_point now) const;
    /// Whether the service has servers and each of them, apart from leaving ones, failed and has
    /// not answered since.
    bool isCutOff(const service_id &service, const placement &where) const;

    /// When the next server of the service that waits for its turn may receive a request; empty if
    /// there is none.
    std::optional<time_point> nextTurnAt(const service_id &service, time_point now) const;
    /// Server that observations of other hosts name by `observationKey`; null if it is unknown or
    /// has restarted since, and if observations are not shared.
    std::shared_ptr<leaf> findObserved(std::uint64_t key) const;
    /// Servers whose answer to a request is overdue.
    std::vector<server_id> stalledServers(time_point now) const;
    /// Ids of all servers, including unregistered ones.
    std::vector<server_id> ids() const;
    /// Number of servers, including unregistered ones.
    std::size_t size() const { return m_servers.size(); }
    zone_latencies &zoneLatencies() { return m_zoneLatencies; }
    const zone_latencies &zoneLatencies() const { return m_zoneLatencies; }

private:
    struct rating;

    duration trafficCost(const zone_id &zone) const;
    void rememberDeparture(const leaf &server);
    void updateNextRemoval();
    /// Number of hosts among which the limits of the server are divided.
    std::size_t hostsOf(const leaf &server) const;
    void configureCold(leaf &server, time_point now) const;
    void removeFromService(const std::shared_ptr<leaf> &server);
    void updateObservationKey(std::optional<std::uint64_t> before,
                              const std::shared_ptr<leaf> &server);
    std::size_t requestLimit(const leaf &candidate) const;
    std::optional<rating> rate(const std::shared_ptr<leaf> &candidate, duration processingTime,
                               time_point now) const;

    leaf_pool_settings m_settings;
    server_choice m_choice;
    zone_latencies m_zoneLatencies;
    std::size_t m_hosts = 1;
    std::size_t m_leastColdHosts = 1;
    std::map<service_id, std::uint32_t> m_connectionLimits;
    std::map<service_id, coordinator_share> m_shares;
    std::map<service_id, cold_rate> m_coldRates;
    double m_turnPhase = 0;
    /// Lower bound of the time of the next removal.
    std::optional<time_point> m_removalAt;
    std::map<server_id, std::shared_ptr<leaf>> m_servers;
    absl::flat_hash_map<service_id, leaf_list> m_services;
    /// Servers by `observationKey`; empty unless observations are shared.
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<leaf>> m_observed;
    /// For `takeEnded`.
    std::vector<std::uint64_t> m_ended;
    /// Start times of servers that left. An older copy of the store may list them again.
    std::map<server_id, std::int64_t> m_departed;
};

} // namespace waxwing::relay
