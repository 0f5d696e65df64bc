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
    /// Factor by which a limit falls on an overload refusal.
    double limitDecrease = 0.7;
    /// Failures in a row after which a server is ejected.
    std::uint32_t failuresToEject = 3;
    /// Time of the first ejection; doubled with each further one.
    std::chrono::milliseconds firstEjection{1000};
    /// Longest ejection.
    std::chrono::milliseconds longestEjection{30000};
    /// Largest share of a zone's servers that is ejected at a time.
    double maxEjectedShare = 0.5;
    /// Weight of a new sample in the latency estimate.
    double latencySmoothing = 0.1;
    /// Time for which a server counts as cold after it appeared or came back; its limit then grows
    /// with every good reply.
    std::chrono::milliseconds rampTime{10000};
    /// Factor by which a server of another zone must be faster to be preferred.
    double otherZoneFactor = 1.25;
    /// Time after which an unused latency estimate or a failure counts half, so that a server that
    /// became fast again is tried.
    std::chrono::milliseconds estimateHalfLife{5000};
    /// Time for which a reply outweighs a health report.
    std::chrono::milliseconds replyOutweighsHealth{5000};
    /// Requests in progress per slot at most, over all of a host's connections.
    double requestsPerSlot = 4;
    /// Multiple of the usual latency after which a server that answers nothing counts as stalled.
    double stallFactor = 4;
    /// Least time after which it does; a few scheduling delays of a busy host.
    std::chrono::milliseconds minStallTime{25};
    /// Latency that is assumed before the first reply.
    std::chrono::milliseconds assumedLatency{5};

    bool operator==(const backend_pool_settings &) const = default;
};

/// What a backend server said about leaving, in an answer or a health report.
struct draining_report
{
    /// Backend server.
    server_id server;
    /// Whether it says that it is leaving.
    bool draining = false;

    bool operator==(const draining_report &) const = default;
};

/// What is known about a replica's hold on a snapshot.
enum class snapshot_availability {
    /// The server reported the snapshot.
    Held,
    /// The server has not reported anything about the shard yet.
    Unknown,
    /// The server reported other snapshots only.
    NotHeld,
};

/// What is known about each backend server, from the results of requests before anything else.
class backend_pool
{
public:
    backend_pool(backend_pool_settings settings, zone_id localZone);
    backend_pool(backend_pool &&) noexcept;
    backend_pool &operator=(backend_pool &&) noexcept;
    ~backend_pool();

    /// Takes over a configuration; knowledge about servers that remain is kept.
    void configure(const configuration &document, time_point now);
    /// Marks a server as leaving, from the platform's list, a peer or the server itself.
    void setLeaving(const server_id &server, bool leaving);
    /// Whether the server gets no new work: marked, or its departure time has come.
    bool isLeaving(const server_id &server, wall_time wall) const;
    /// Takes over what a server reports about itself.
    void onHealth(const server_id &server, const leaf_health &health, time_point now);

    /// Chooses a server among `replicas` that may get work now and is not in `excluded`. With
    /// `needed` only servers count that hold the snapshot of the shard, or may hold it.
    std::optional<server_id> choose(const service_id &service, const shard_id &shard,
                                    const std::vector<server_id> &replicas,
                                    const std::vector<server_id> &excluded,
                                    std::optional<snapshot> needed, time_point now, wall_time wall,
                                    random_engine &random) const;
    /// A request was handed to the server.
    void onSent(const server_id &server, time_point now);
    /// A request to the server was answered.
    void onAnswer(const server_id &server, duration latency, time_point now);
    /// A request to the server failed.
    void onFailure(const server_id &server, const leaf_failure &failure, time_point now);
    /// A request to the server was cancelled or abandoned.
    void onAbandoned(const server_id &server, time_point now);

    /// Takes over the snapshots that a reply or refusal of the server reported for a shard.
    void onSnapshotsReported(const server_id &server, const service_id &service,
                             const shard_id &shard, const std::vector<snapshot> &held,
                             time_point now);
    /// Forgets what the server reported for a shard if all of it is older than `oldest`, so that
    /// the server counts as one that may hold `oldest`.
    void forgetSnapshotsBefore(const server_id &server, const service_id &service,
                               const shard_id &shard, const snapshot &oldest);
    /// A request to the server was given up after `elapsed`, which is longer than answers usually
    /// take. It stays in progress until `onAbandoned`.
    void onUnanswered(const server_id &server, duration elapsed, time_point now);
    /// Whether `choose` would find a server if none were at its limit.
    bool mayChooseLater(const service_id &service, const shard_id &shard,
                        const std::vector<server_id> &replicas,
                        const std::vector<server_id> &excluded, std::optional<snapshot> needed,
                        wall_time wall) const;
    /// The most requests that this host may have in progress on the server, by its connections.
    void setConnectionLimit(const server_id &server, std::uint32_t connections);
    /// What is known about the server's hold on the snapshot of the shard.
    snapshot_availability snapshotAvailability(const server_id &server, const service_id &service,
                                               const shard_id &shard, const snapshot &wanted) const;
    /// Snapshots that the server reported for the shard; empty if it reported none.
    const std::vector<snapshot> &reportedSnapshots(const server_id &server,
                                                   const service_id &service,
                                                   const shard_id &shard) const;
    /// Whether the server is part of the configuration and not leaving.
    bool isAvailable(const server_id &server, wall_time wall) const;
    /// Whether the server is ejected, so that it only gets trial requests.
    bool isEjected(const server_id &server, time_point now) const;
    /// Whether the server is ejected and a request to it would be its trial.
    bool isTrialDue(const server_id &server, time_point now) const;
    /// Whether the server has answered nothing for so long that requests go elsewhere if they can.
    bool isStalled(const server_id &server, time_point now) const;
    /// Grows whenever the snapshots, departures or ejections that are known change.
    std::uint64_t knowledgeVersion() const;
    /// When the next planned departure is due; snapshot choices made before it end with it.
    std::optional<wall_time> nextDeparture(wall_time wall) const;
    /// Address of the server, or null if it is not part of the configuration.
    const endpoint *addressOf(const server_id &server) const;
    /// Zone of the server, or null if it is not part of the configuration.
    const zone_id *zoneOf(const server_id &server) const;
    /// What servers said about leaving since the last call.
    std::vector<draining_report> takeDrainingReports();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
