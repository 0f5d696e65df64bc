#pragma once

#include "configuration/configuration.h"
#include "events/event.h"
#include "events/reduce_context.h"
#include "membership/membership.h"

#include <memory>
#include <optional>

namespace waxwing {

/// Periods and limits of `distribution`.
struct distribution_settings
{
    /// Members of each zone that watch the configuration on the platform.
    std::uint32_t watchersPerZone = 2;
    /// Timeout of one watch call. It is below the 5 s in which hosts must agree on an accepted
    /// change, because a watch whose response is lost ends only at this timeout.
    std::chrono::milliseconds watchTimeout{3000};
    /// Delay after a failed call; doubled with each further failure, with jitter.
    std::chrono::milliseconds retryDelay{500};
    /// Upper bound of the retry delay. It is below the 5 s in which hosts must agree on an accepted
    /// change, because a watcher may be waiting to retry when the platform accepts the change.
    std::chrono::milliseconds maxRetryDelay{3000};
    /// Interval at which a watcher reads the platform's host list.
    std::chrono::milliseconds hostListPeriod{5000};
    /// Time after the start at which a host that still has no configuration also reads the
    /// platform, even if it is not a watcher.
    std::chrono::milliseconds platformFallbackDelay{1000};
    /// Timeout of all other platform calls.
    std::chrono::milliseconds callTimeout{1000};
    /// Longest time between two checks of whether this host is a watcher.
    std::chrono::milliseconds roleCheckPeriod{1000};
    /// Limit of concurrent fetches from peers; many peers may announce a new revision at once.
    std::uint32_t maxFetches = 2;
    /// Consecutive reads with an older revision after which the platform is reported as restored
    /// from a backup; a single one may be a stale read.
    std::uint32_t staleReadsBeforeReport = 3;

    bool operator==(const distribution_settings &) const = default;
};

/// Adopts configurations with a higher revision from peers and the platform, and never reverts.
class distribution
{
public:
    explicit distribution(distribution_settings settings);
    distribution(distribution &&) noexcept;
    distribution &operator=(distribution &&) noexcept;
    ~distribution();

    /// Requests the configuration from the seed peers, and from the platform if there is none after
    /// `platformFallbackDelay`.
    void start(reduce_context &context, const std::vector<endpoint> &seedPeers);
    /// Handles a peer's announcement of its configuration in force; fetches it if it is newer.
    void onAnnouncement(reduce_context &context, const member &peer, std::uint64_t digest);
    /// Handles the end of a fetch from a peer. Returns false if the attempt is unknown.
    bool onPeerState(reduce_context &context, const peer_state_fetched &fetched);
    /// Handles the end of a platform call. Returns false if the attempt is unknown.
    bool onPlatform(reduce_context &context, const platform_finished &finished);
    /// Starts the calls that are due. `members` decides whether this host is a watcher.
    void onTick(reduce_context &context, const membership &members);
    /// When `onTick` is next due, at most `roleCheckPeriod` after the last one.
    std::optional<time_point> nextDeadline() const;

    /// The configuration in force; its document is null if there is none yet.
    const configuration_copy &current() const;
    /// Backend servers with state `leaving` on the platform's host list.
    const std::vector<server_id> &leavingServers() const;
    /// Gossip addresses of entry hosts on the platform's host list.
    const std::vector<endpoint> &listedHosts() const;
    /// Number of host lists read so far. When it grows, the composition publishes `leavingServers`
    /// as facts and passes `listedHosts` to `membership::addSeeds`.
    std::uint64_t hostListReads() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
