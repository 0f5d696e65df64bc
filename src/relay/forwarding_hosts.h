#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "membership/member.h"
#include "placement/placement.h"
#include "relay/zone_latencies.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace waxwing::relay {

/// Settings of `forwarding_hosts`.
struct forwarding_hosts_settings
{
    /// Time for which a host that answered a forwarded request is preferred.
    std::chrono::milliseconds helpfulTime{5000};
    /// Time for which a host that could not answer one is not asked again.
    std::chrono::milliseconds unhelpfulTime{2000};
    /// Number of such hosts in a zone from which other zones are preferred. All hosts of a zone
    /// may have lost the same network path.
    std::size_t hostsToAvoidZone = 2;

    bool operator==(const forwarding_hosts_settings &) const = default;
};

/// Choice of the host that a request is forwarded to when this host reaches no server for it.
///
/// Handles cuts that leave some, most or all hosts of a zone without servers. Hosts do not announce
/// such a cut; each learns from the answers to its own forwarded requests who can help.
class forwarding_hosts
{
public:
    explicit forwarding_hosts(const forwarding_hosts_settings &settings) : m_settings(settings) { }

    /// Records that the host answered a forwarded request.
    void onHelped(const host_id &host, time_point now);
    /// Records that the host did not answer one, or reaches no server either.
    void onUnable(const host_id &host, time_point now);
    /// Records that the answer of the host to one is late. For `unhelpfulTime` it is asked only if
    /// no other host may be able to help: it may be lost, or its servers are slow.
    void onLate(const host_id &host, time_point now);
    /// Whether any host has answered a forwarded request lately.
    bool hasHelper(time_point now);
    /// Returns a living host other than `self` that is not in `tried`, in a zone that `where`
    /// allows, as near as possible; empty if there is none that may be able to help.
    std::optional<member> choose(const std::map<host_id, member> &members, const host_id &self,
                                 const std::vector<host_id> &tried, const placement &where,
                                 const zone_latencies &zones, random_engine &random,
                                 time_point now);

private:
    enum class outcome_kind { Helped, Late, Unable };

    struct outcome
    {
        outcome_kind kind = outcome_kind::Unable;
        time_point at;
    };

    void removeExpired(time_point now);

    forwarding_hosts_settings m_settings;
    /// Latest outcomes. Contains none that has expired after `removeExpired`.
    std::map<host_id, outcome> m_outcomes;
};

} // namespace waxwing::relay
