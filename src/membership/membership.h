#pragma once

#include "events/reduce_context.h"
#include "membership/member.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace waxwing {

/// Periods and limits of `membership`.
struct membership_settings
{
    /// Time between two probes.
    std::chrono::milliseconds probePeriod{1000};
    /// Time to wait for an acknowledgement before indirect probes are requested.
    std::chrono::milliseconds probeTimeout{300};
    /// Number of members that receive an indirect probe request.
    std::uint32_t indirectProbes = 3;
    /// Suspicion time of a cluster of one; increases with the logarithm of the member count.
    std::chrono::milliseconds suspicionTime{4000};
    /// How long dead members are kept.
    std::chrono::minutes deadMemory{10};
    /// Maximum datagram size, in bytes.
    std::size_t datagramBytes = 1200;
    /// Time between two probes of a seed, and between two probes of a dead member, so that
    /// partitioned zones reconnect. A host without other active members probes seeds in every probe
    /// period.
    std::chrono::milliseconds reconnectPeriod{10000};
    /// Time from the start to the first request for all members. Covers the time in which the hosts
    /// of a fleet that starts at once contact their seeds.
    std::chrono::milliseconds firstSyncDelay{500};
    /// Upper limit of the time between two such requests. It doubles from `firstSyncDelay` whenever
    /// an answer contains no new member.
    std::chrono::milliseconds longestSyncPeriod{30000};
    /// Number of members that receive urgent updates immediately instead of with the next probe.
    std::uint32_t pushFanOut = 3;
    /// Minimum time between two such pushes; updates that arrive within it are sent together.
    std::chrono::milliseconds pushPause{100};
    /// Number of times that an update or a fact is sent, per binary logarithm of the member count.
    std::uint32_t transmissionFactor = 3;
    /// Number of random active members added to each datagram, so that hosts receive members whose
    /// updates they missed.
    std::uint32_t fillerMembers = 3;
    /// Maximum number of members including dead ones; bounds memory against malformed input.
    std::size_t maxMembers = 5000;
    /// Maximum number of facts.
    std::size_t maxFacts = 1000;

    bool operator==(const membership_settings &) const = default;
};

/// Failure detection between entry hosts and dissemination of facts (SWIM).
///
/// Probes and their updates spread single changes. When a large fleet starts at once, they would
/// take longer than a second for every eight hosts, so each host also requests all members from
/// another host, shortly after its start and then at growing intervals.
class membership
{
public:
    explicit membership(membership_settings settings);
    membership(membership &&) noexcept;
    membership &operator=(membership &&) noexcept;
    ~membership();

    /// Starts with the record of this host and the addresses to probe first.
    void start(reduce_context &context, const member &self, const std::vector<endpoint> &seeds);
    void onDatagram(reduce_context &context, const endpoint &from, const gossip_message &message);
    /// Merges the members and facts of a peer.
    void onPeerState(reduce_context &context, const peer_state &state);
    /// Adds addresses of entry hosts listed by the platform. Does not remove addresses.
    void addSeeds(const std::vector<endpoint> &seeds);
    /// Handles all expired timers.
    void onTick(reduce_context &context);
    /// When `onTick` is next due; empty before `start`.
    std::optional<time_point> nextDeadline() const;

    /// Announces the shutdown of this host.
    void announceLeaving(reduce_context &context);
    /// Sets the configuration that this host announces.
    void setConfiguration(std::uint64_t revision, std::uint64_t digest);
    /// Disseminates a fact that this host observed.
    void publish(reduce_context &context, fact_kind kind, std::string subject, std::uint64_t value,
                 std::chrono::milliseconds validFor);

    /// This host.
    const member &self() const;
    /// Every known host including this host and dead hosts.
    const std::map<host_id, member> &members() const;
    /// Hosts that are alive or suspect, including this host unless it is leaving.
    std::vector<member> activeMembers() const;
    /// Incremented whenever `activeMembers` changes.
    std::uint64_t activeVersion() const;
    /// Facts received from other hosts since the last call, each once.
    std::vector<fact> takeNewFacts();
    /// Facts that have not expired, including those of this host.
    std::vector<fact> facts(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
