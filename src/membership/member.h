#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/strong_id.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// State of an entry host as another one sees it. A higher value wins at the same incarnation.
enum class member_state {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; may still refute.
    Suspect,
    /// Said that it stops; takes no new forwarded queries and holds no connections.
    Leaving,
    /// Did not refute in time, or has left.
    Dead,
};

/// Entry host as it is known to others.
struct member
{
    /// Id of the host.
    host_id host;
    /// Availability zone.
    zone_id zone;
    /// Address for UDP datagrams.
    endpoint gossip;
    /// Address for gRPC calls.
    endpoint peer;
    /// Grows with each start of the host and each refutation.
    std::uint64_t incarnation = 0;
    /// State.
    member_state state = member_state::Alive;
    /// Revision of the configuration in force on the host.
    std::uint64_t configurationRevision = 0;

    bool operator==(const member &) const = default;
};

/// Kind of a `fact`.
enum class fact_kind {
    /// The backend server `subject` is leaving and gets no new work.
    ServerLeaving,
    /// The request fingerprint `subject` crashed a backend server; `value` is the number of
    /// crashes.
    RequestQuarantined,
};

/// Small value that spreads between entry hosts. A higher sequence of the same origin wins.
struct fact
{
    /// Kind.
    fact_kind kind = fact_kind::ServerLeaving;
    /// What the fact is about.
    std::string subject;
    /// Host that observed it.
    host_id origin;
    /// Grows with each fact of the origin, across its incarnations.
    std::uint64_t sequence = 0;
    /// Further value, depending on the kind.
    std::uint64_t value = 0;
    /// Time that the fact is still valid when it is sent.
    std::chrono::milliseconds validFor{0};

    bool operator==(const fact &) const = default;
};

/// Datagram between entry hosts.
struct gossip_message
{
    /// Kind of message.
    enum class message_kind {
        /// Asks for an `Acknowledge`.
        Probe,
        /// Asks the receiver to probe `target`.
        IndirectProbe,
        /// Answers a probe.
        Acknowledge,
    };

    /// Kind.
    message_kind kind = message_kind::Probe;
    /// Sender, with its configuration revision.
    member sender;
    /// Digest of the sender's configuration text; 0 if it has none.
    std::uint64_t configurationDigest = 0;
    /// Number of the probe that is sent or answered.
    std::uint64_t probe = 0;
    /// Host to be probed for an `IndirectProbe`; empty otherwise.
    host_id target;
    /// Updates about members.
    std::vector<member> updates;
    /// Facts.
    std::vector<fact> facts;

    bool operator==(const gossip_message &) const = default;
};

/// Members and facts that a starting host takes from a peer.
struct peer_state
{
    /// Members, the peer included.
    std::vector<member> members;
    /// Facts that are still valid.
    std::vector<fact> facts;
    /// Text of the peer's configuration; empty if it has none.
    std::string configurationText;

    bool operator==(const peer_state &) const = default;
};

} // namespace waxwing
