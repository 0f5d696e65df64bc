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
    /// Time to wait for an acknowledgement before others are asked to probe.
    std::chrono::milliseconds probeTimeout{300};
    /// Members that are asked to probe.
    std::uint32_t indirectProbes = 3;
    /// Suspicion time of a cluster of one; grows with the logarithm of the member count.
    std::chrono::milliseconds suspicionTime{4000};
    /// Time for which dead members are remembered.
    std::chrono::minutes deadMemory{10};
    /// Largest datagram, in bytes.
    std::size_t datagramBytes = 1200;
    /// Time between two contacts with a seed, and between two probes of a dead member, so that
    /// partitioned zones find each other again. A host that knows no other contacts seeds in
    /// every probe period.
    std::chrono::milliseconds reconnectPeriod{10000};
    /// Members that a host contacts at once with news that should not wait for its next probe.
    std::uint32_t pushFanOut = 3;
    /// Least time between two such contacts; news that arrive together are sent together.
    std::chrono::milliseconds pushPause{100};
    /// Times that an update or a fact is sent, per binary logarithm of the member count.
    std::uint32_t transmissionFactor = 3;
    /// Members known to be alive that fill up a datagram, so that hosts learn of members whose
    /// updates they missed.
    std::uint32_t fillerMembers = 3;
    /// Members kept, dead ones included; bounds the memory against malformed input.
    std::size_t maxMembers = 5000;
    /// Facts kept.
    std::size_t maxFacts = 1000;

    bool operator==(const membership_settings &) const = default;
};

/// Failure detection between entry hosts and dissemination of facts (SWIM).
class membership
{
public:
    explicit membership(membership_settings settings);
    membership(membership &&) noexcept;
    membership &operator=(membership &&) noexcept;
    ~membership();

    /// Starts with this host and the addresses to contact first.
    void start(reduce_context &context, const member &self, const std::vector<endpoint> &seeds);
    /// Handles a datagram.
    void onDatagram(reduce_context &context, const endpoint &from, const gossip_message &message);
    /// Takes members and facts from a peer's state.
    void onPeerState(reduce_context &context, const peer_state &state);
    /// Adds entry hosts from the platform's list as addresses to contact; removes none.
    void addSeeds(const std::vector<endpoint> &seeds);
    /// Handles what is due.
    void onTick(reduce_context &context);
    /// When `onTick` is next due; empty before `start`.
    std::optional<time_point> nextDeadline() const;

    /// Announces that this host stops.
    void announceLeaving(reduce_context &context);
    /// Sets the configuration that this host announces.
    void setConfiguration(std::uint64_t revision, std::uint64_t digest);
    /// Spreads a fact that this host observed.
    void publish(reduce_context &context, fact_kind kind, std::string subject, std::uint64_t value,
                 std::chrono::milliseconds validFor);

    /// This host.
    const member &self() const;
    /// Every known host, this one included, dead ones too.
    const std::map<host_id, member> &members() const;
    /// Hosts that are alive or suspect, this one included unless it is leaving.
    std::vector<member> activeMembers() const;
    /// Grows whenever `activeMembers` changes.
    std::uint64_t activeVersion() const;
    /// Facts heard from others since the last call, each once.
    std::vector<fact> takeNewFacts();
    /// Facts that are still valid, own ones included.
    std::vector<fact> facts(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace waxwing
