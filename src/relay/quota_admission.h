#pragma once

#include "membership/membership.h"
#include "quota/busiest_organisations.h"
#include "quota/quota_gate.h"
#include "quota/quota_owner.h"
#include "relay/quota_status.h"
#include "relay/relay_effect.h"
#include "relay/relay_event.h"
#include "relay/route_document.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::relay {

/// Quotas of organisations on a relay host: admits requests, keeps those that wait for a permit,
/// and exchanges messages with the owners of quotas. This host may be one of them.
///
/// Does nothing, and sends nothing, unless the settings and the routes name quotas.
class quota_admission
{
public:
    explicit quota_admission(const quota_settings &settings)
        : m_settings(settings), m_gate(settings), m_owner(settings), m_counts(maxCounted)
    { }

    void start(const host_id &self, time_point now, wall_time wall);

    /// Decision on a request. `refused` is empty if it is admitted or waits.
    struct outcome
    {
        bool waits = false;
        std::optional<refusal> refused{};
    };
    /// Decides on a request that came from a caller. Keeps a copy of it if it has to wait. From
    /// `lateAt` on it can no longer be answered within the latency target of its route.
    outcome admit(const request_received &received, const organisation &customer, time_point lateAt,
                  time_point now, relay_effect_list &effects);
    /// Counts a request of the organisation that was refused because the host is full.
    void onNoRoom(const organisation &customer, relay_effect_list &effects);
    /// Forgets a waiting request. Returns whether there was one.
    bool cancel(request_id id);
    /// Handles a report, an answer or a notice of another host.
    void onDatagram(const endpoint &from, const gossip_message &message, const membership &members,
                    time_point now, relay_effect_list &effects);

    /// Request that does not wait any longer, with the reason if it is refused.
    using decided_request = std::pair<request_received, std::optional<refusal>>;
    /// Applies the routes and hosts, sends what is due, and returns the requests that were decided
    /// on. Called after every event.
    std::vector<decided_request> synchronise(const std::shared_ptr<const route_document> &document,
                                             const membership &members, time_point now,
                                             relay_effect_list &effects);
    std::optional<time_point> nextDeadline() const;
    /// Numbers for the metrics page.
    quota_status status() const;
    /// Whether the settings and the routes name quotas.
    bool isActive() const { return !m_quotas->empty(); }
    /// Number of requests that wait for a permit.
    std::size_t waitingCount() const { return m_parked.size(); }

private:
    /// Maximum number of organisations with counters of their own.
    static constexpr std::size_t maxCounted = 50;

    struct parked_request
    {
        request_received received;
        std::string organisation;
        time_point since;
    };

    void applyRoutes(const std::shared_ptr<const route_document> &document);
    void applyMembers(const membership &members, time_point now, relay_effect_list &effects);
    static std::optional<refusal> refusalOf(const quota_decision &decision);
    /// Sets the time after which a caller should ask again, if this host cannot decide.
    quota_decision withRetryTime(quota_decision decision, std::uint64_t id, time_point now) const;
    void record(const std::string &callerId, const std::string &organisation,
                const quota_decision &decision, duration waited, time_point now,
                relay_effect_list &effects);
    void exchange(const membership &members, time_point now, relay_effect_list &effects);
    void send(const membership &members, const host_id &to, gossip_message::message_kind kind,
              quota_message message, time_point now, relay_effect_list &effects);
    /// Adds the records of the owners of quotas to a message to a host that may not know them.
    void addOwners(gossip_message &message, const membership &members) const;
    /// Whether most of the known other hosts started about when this one did.
    bool startedWithOthers(const membership &members) const;
    void updateShare(time_point now);
    void logChanges(time_point now, relay_effect_list &effects);

    quota_settings m_settings;
    host_id m_self;
    time_point m_startedAt{};
    /// Whether most of the other hosts started together with this one, as far as is known.
    bool m_isFleetStarting = false;
    quota_gate m_gate;
    quota_owner m_owner;
    std::shared_ptr<const route_document> m_document;
    std::shared_ptr<const quota_table> m_quotas = std::make_shared<quota_table>();
    time_point m_nextMembersAt{};
    absl::flat_hash_map<std::uint64_t, parked_request> m_parked;
    busiest_organisations m_counts;
    /// The share in force, and since when.
    double m_share = 0;
    time_point m_shareSince{};
    bool m_isOwner = false;
    /// Contact with the owners, as it was logged last.
    std::map<host_id, owner_contact::state_kind> m_loggedContacts;
    std::size_t m_loggedLimited = 0;
};

} // namespace waxwing::relay
