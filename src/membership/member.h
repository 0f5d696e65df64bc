#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/strong_id.h"
#include "membership/quota_message.h"
#include "membership/server_observation.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// State of an entry host as seen by another entry host. At equal incarnations the higher value
/// takes precedence.
enum class member_state {
    /// Acknowledges probes.
    Alive,
    /// Did not acknowledge a probe; can still refute the suspicion.
    Suspect,
    /// Announced its shutdown; receives no new forwarded queries and holds no connections.
    Leaving,
    /// Did not refute the suspicion in time, or has shut down.
    Dead,
};

/// Membership record of an entry host.
struct member
{
    host_id host;
    zone_id zone;
    /// Address for UDP datagrams.
    endpoint gossip;
    /// Address for gRPC calls.
    endpoint peer;
    /// Increases with each start of the host and each refutation.
    std::uint64_t incarnation = 0;
    member_state state = member_state::Alive;
    /// Revision of the configuration that the host has applied.
    std::uint64_t configurationRevision = 0;
    /// Rate of the host's network link, in Mbit/s; 0 if it is not known.
    std::uint32_t linkMbps = 0;

    bool operator==(const member &) const = default;
};

enum class fact_kind {
    /// The backend server `subject` is shutting down and receives no new requests.
    ServerLeaving,
    /// The request fingerprint `subject` crashed a backend server; `value` is the number of
    /// crashes.
    RequestQuarantined,
    /// The request fingerprint `subject` was in progress on a backend server that crashed; `value`
    /// identifies the start of the server. For the receiver only: neither stored nor passed on.
    RequestCrash,
};

/// Small value disseminated between entry hosts by gossip. A higher sequence of the same origin
/// replaces a lower one.
struct fact
{
    fact_kind kind = fact_kind::ServerLeaving;
    /// Backend server or request fingerprint, depending on the kind.
    std::string subject;
    /// Host that observed it.
    host_id origin;
    /// Increases with each fact of the origin, across its incarnations.
    std::uint64_t sequence = 0;
    /// Kind-specific value.
    std::uint64_t value = 0;
    /// Remaining validity at the time of sending.
    std::chrono::milliseconds validFor{0};

    bool operator==(const fact &) const = default;
};

/// Datagram between entry hosts.
struct gossip_message
{
    enum class message_kind {
        /// Requests an `Acknowledge`.
        Probe,
        /// Requests that the receiver probes `target`.
        IndirectProbe,
        /// Answers a probe.
        Acknowledge,
        /// Requests all active members.
        MembersRequest,
        /// Contains some of the active members or facts; answers a `MembersRequest` together with
        /// others.
        Members,
        /// Usage of organisations with a quota; answered by a `QuotaAnswer`.
        QuotaReport,
        /// Permits and limited organisations, as an answer or a notice.
        QuotaAnswer,
        /// Processing times of backend servers that the sender observed.
        ServerObservations,
    };

    message_kind kind = message_kind::Probe;
    /// Record of the sender, including its configuration revision.
    member sender;
    /// Digest of the sender's configuration text; 0 if it has none.
    std::uint64_t configurationDigest = 0;
    /// Number of the probe that is sent or acknowledged. For `ServerObservations`, the number of
    /// the datagram, increasing at the sender.
    std::uint64_t probe = 0;
    /// Host to probe for an `IndirectProbe`; empty otherwise.
    host_id target;
    std::vector<member> updates;
    std::vector<fact> facts;
    /// For a `QuotaReport` or `QuotaAnswer`; empty otherwise.
    quota_message quota{};
    /// For `ServerObservations`; empty otherwise.
    std::vector<server_observation> observations{};

    bool operator==(const gossip_message &) const = default;
};

/// State that a starting host fetches from a peer.
struct peer_state
{
    /// Members including the peer itself.
    std::vector<member> members;
    /// Facts that have not expired.
    std::vector<fact> facts;
    /// Text of the peer's configuration; empty if it has none.
    std::string configurationText;

    bool operator==(const peer_state &) const = default;
};

} // namespace waxwing
