#pragma once

#include "configuration/configuration.h"
#include "events/event.h"
#include "events/reduce_context.h"
#include "membership/membership.h"

#include <memory>
#include <optional>

namespace waxwing {

/// Periods of `distribution`.
struct distribution_settings
{
    /// Members of each zone that watch the platform.
    std::uint32_t watchersPerZone = 2;
    /// Longest wait of one watch call. Below the 5 s in which hosts agree on an accepted change,
    /// because a watch whose answer is lost ends no sooner.
    std::chrono::milliseconds watchTimeout{3000};
    /// Pause after a failed call; doubled with each further failure, with jitter.
    std::chrono::milliseconds retryDelay{500};
    /// Longest pause. Below the 5 s in which hosts agree on an accepted change, because a watcher
    /// may pause at the moment when the platform accepts it.
    std::chrono::milliseconds maxRetryDelay{3000};
    /// Time between two reads of the platform's host list by a watcher.
    std::chrono::milliseconds hostListPeriod{5000};
    /// Time after the start at which a host without a configuration asks the platform.
    std::chrono::milliseconds platformFallbackDelay{1000};
    /// Longest wait for any other platform call.
    std::chrono::milliseconds callTimeout{1000};
    /// Time between two reviews of whether this host watches.
    std::chrono::milliseconds roleCheckPeriod{1000};
    /// Fetches from peers at a time; many peers may announce a new revision at once.
    std::uint32_t maxFetches = 2;
    /// Reads in a row that show an older revision before the platform counts as restored; a
    /// single one may be stale.
    std::uint32_t staleReadsBeforeReport = 3;

    bool operator==(const distribution_settings &) const = default;
};

/// Adopts newer configurations from peers and the platform, never an older one.
class distribution
{
public:
    explicit distribution(distribution_settings settings);
    distribution(distribution &&) noexcept;
    distribution &operator=(distribution &&) noexcept;
    ~distribution();

    /// Asks seeds and the platform for the configuration.
    void start(reduce_context &context, const std::vector<endpoint> &seedPeers);
    /// A peer announced the configuration that it has in force.
    void onAnnouncement(reduce_context &context, const member &peer, std::uint64_t digest);
    /// Handles the end of a fetch from a peer. Returns false if the attempt is not its own.
    bool onPeerState(reduce_context &context, const peer_state_fetched &fetched);
    /// Handles the end of a platform call. Returns false if the attempt is not its own.
    bool onPlatform(reduce_context &context, const platform_finished &finished);
    /// Handles what is due. `members` decides whether this host watches.
    void onTick(reduce_context &context, const membership &members);
    /// When `onTick` is next due, at most `roleCheckPeriod` after the last one.
    std::optional<time_point> nextDeadline() const;

    /// The configuration in force; its document is null if there is none yet.
    const configuration_copy &current() const;
    /// Backend servers that the platform's list says are leaving.
    const std::vector<server_id> &leavingServers() const;
    /// Gossip addresses of entry hosts on the platform's list.
    const std::vector<endpoint> &listedHosts() const;
    /// Host lists read so far; the composition publishes `leavingServers` as facts and passes
    /// `listedHosts` to `membership::addSeeds` when it grows.
    std::uint64_t hostListReads() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
