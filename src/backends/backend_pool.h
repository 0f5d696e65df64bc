#pragma once

#include "configuration/configuration.h"
#include "core/clock.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "query/search_types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/// Policy of `backend_pool`.
struct backend_pool_settings
{
    /// Factor that a concurrency limit is multiplied by on an overload refusal.
    double limitDecrease = 0.7;
    /// Consecutive failures after which a server is ejected.
    std::uint32_t failuresToEject = 3;
    /// Duration of the first ejection; doubles with each further ejection.
    std::chrono::milliseconds firstEjection{1000};
    /// Upper bound of the duration of an ejection.
    std::chrono::milliseconds longestEjection{30000};
    /// Maximum fraction of a zone's servers that may be ejected at the same time.
    double maxEjectedShare = 0.5;
    /// Weight of a new sample in the latency estimate.
    double latencySmoothing = 0.1;
    /// Time for which a server counts as cold after it was added or reinstated. While it is cold,
    /// its limit grows by 1 with every timely reply.
    std::chrono::milliseconds rampTime{10000};
    /// Factor by which a server in another zone must be faster to be preferred over a local one.
    double otherZoneFactor = 1.25;
    /// Half-life of a latency estimate without new samples and of the penalty for a failure. The
    /// decay lets a server that recovered receive requests again.
    std::chrono::milliseconds estimateHalfLife{5000};
    /// Time after a reply during which conflicting health reports are ignored.
    std::chrono::milliseconds replyOutweighsHealth{5000};
    /// Maximum requests in progress per slot, over all connections of this host.
    double requestsPerSlot = 4;
    /// Multiple of the typical latency after which a server without replies counts as stalled.
    double stallFactor = 4;
    /// Minimum time without replies before a server counts as stalled; covers a few scheduling
    /// delays of a busy host.
    std::chrono::milliseconds minStallTime{25};
    /// Latency assumed before the first reply.
    std::chrono::milliseconds assumedLatency{5};

    bool operator==(const backend_pool_settings &) const = default;
};

/// Change of a backend server's draining state, reported in a reply or a health report.
struct draining_report
{
    server_id server;
    bool draining = false;

    bool operator==(const draining_report &) const = default;
};

/// Whether a replica holds a snapshot, according to its last report.
enum class snapshot_availability {
    Held,
    /// The server has not reported its snapshots of the shard yet.
    Unknown,
    /// The server reported only other snapshots.
    NotHeld,
};

/// Tracks the load, health and snapshots of each backend server and chooses servers for requests.
/// Results of requests take precedence over health reports.
class backend_pool
{
public:
    backend_pool(backend_pool_settings settings, zone_id localZone);
    backend_pool(backend_pool &&) noexcept;
    backend_pool &operator=(backend_pool &&) noexcept;
    ~backend_pool();

    /// Applies a configuration. The state of a server is kept if its id and address are unchanged.
    void configure(const configuration &document, time_point now);
    /// Marks a server as leaving, as reported by the platform, a peer or the server itself.
    void setLeaving(const server_id &server, bool leaving);
    /// Whether the server receives no new requests: it is marked as leaving, its departure time has
    /// passed, or it is not part of the configuration.
    bool isLeaving(const server_id &server, wall_time wall) const;
    /// Applies a health report of a server.
    void onHealth(const server_id &server, const leaf_health &health, time_point now);

    /// Chooses a server among `replicas` that can accept a request now and is not in `excluded`. If
    /// `needed` is set, servers that are known not to hold this snapshot of the shard are skipped.
    /// Empty if no server is eligible or all eligible servers are at their limit.
    std::optional<server_id> choose(const service_id &service, const shard_id &shard,
                                    const std::vector<server_id> &replicas,
                                    const std::vector<server_id> &excluded,
                                    std::optional<snapshot> needed, time_point now, wall_time wall,
                                    random_engine &random) const;
    /// Called when a request was sent to the server.
    void onSent(const server_id &server, time_point now);
    /// Called when the server replied to a request, `latency` after it was sent.
    void onAnswer(const server_id &server, duration latency, time_point now);
    /// Called when a request to the server failed.
    void onFailure(const server_id &server, const leaf_failure &failure, time_point now);
    /// Called when a request to the server was cancelled or abandoned.
    void onAbandoned(const server_id &server, time_point now);

    /// Stores the snapshots that a reply or refusal of the server reported for a shard.
    void onSnapshotsReported(const server_id &server, const service_id &service,
                             const shard_id &shard, const std::vector<snapshot> &held,
                             time_point now);
    /// Removes the server's report for a shard if all its snapshots are older than `oldest`, so
    /// that availability of `oldest` becomes `Unknown` instead of `NotHeld`.
    void forgetSnapshotsBefore(const server_id &server, const service_id &service,
                               const shard_id &shard, const snapshot &oldest);
    /// Called when a request was given up after `elapsed`, which is longer than replies usually
    /// take. The request counts as in progress until `onAbandoned`.
    void onUnanswered(const server_id &server, duration elapsed, time_point now);
    /// Whether `choose` would find a server if no server were at its limit.
    bool mayChooseLater(const service_id &service, const shard_id &shard,
                        const std::vector<server_id> &replicas,
                        const std::vector<server_id> &excluded, std::optional<snapshot> needed,
                        wall_time wall) const;
    /// Sets the number of connections that this host may use to the server, which bounds its
    /// requests in progress.
    void setConnectionLimit(const server_id &server, std::uint32_t connections);
    /// Whether the server holds the snapshot of the shard; `NotHeld` for an unknown server.
    snapshot_availability snapshotAvailability(const server_id &server, const service_id &service,
                                               const shard_id &shard, const snapshot &wanted) const;
    /// Snapshots that the server reported for the shard; empty if it reported none.
    const std::vector<snapshot> &reportedSnapshots(const server_id &server,
                                                   const service_id &service,
                                                   const shard_id &shard) const;
    /// Whether the server is part of the configuration and not leaving.
    bool isAvailable(const server_id &server, wall_time wall) const;
    /// Whether the server is ejected; an ejected server receives only trial requests while others
    /// are usable.
    bool isEjected(const server_id &server, time_point now) const;
    /// Whether the server is ejected and the next request to it would be its trial request.
    bool isTrialDue(const server_id &server, time_point now) const;
    /// Whether the server has not replied for so long that other servers are preferred.
    bool isStalled(const server_id &server, time_point now) const;
    /// Increases whenever the known snapshots, departures or ejections change.
    std::uint64_t knowledgeVersion() const;
    /// Time of the next planned departure; snapshot selections made before it expire then.
    std::optional<wall_time> nextDeparture(wall_time wall) const;
    /// Address of the server, or null if it is not part of the configuration.
    const endpoint *addressOf(const server_id &server) const;
    /// Zone of the server, or null if it is not part of the configuration.
    const zone_id *zoneOf(const server_id &server) const;
    /// Returns and clears the draining reports since the last call.
    std::vector<draining_report> takeDrainingReports();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
