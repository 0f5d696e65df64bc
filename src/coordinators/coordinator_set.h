#pragma once

#include "core/random.h"
#include "core/strong_id.h"
#include "membership/member.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwing {

/// Settings of `coordinator_set`.
struct coordinator_settings
{
    /// Whether fan-outs are delegated at all.
    bool isEnabled = true;
    /// Fraction of a server's connection limit that the coordinators use together. At most half:
    /// a server still counts the connections of hosts that lost power, so the connections of the
    /// fleet before and after have to fit together.
    double connectionFraction = 0.5;
    /// Connections to each server from which every host carries out its own fan-outs. With fewer, a
    /// host that needs a second one has to open it at a server of another zone, or has none left.
    double minConnections = 1;
    /// Connections to each server that a coordinator gets.
    double connectionsPerCoordinator = 3;
    /// Minimum share of a region's total link rate that its coordinators have together. They carry
    /// the parts of all fan-outs of the region.
    double minLinkShare = 0.15;
    /// Minimum number of coordinators in a region, so that one can be lost.
    std::size_t minPerRegion = 2;
    /// Link rate of a coordinator, as a fraction of the fastest in its region, below which a host
    /// is only added to reach `minLinkShare`.
    double minRelativeLink = 0.5;
    /// Time for which a coordinator that did not take a request receives no further ones.
    std::chrono::milliseconds avoidedTime{1500};
    /// Number of coordinators that are asked to carry out one fan-out.
    std::size_t maxDelegations = 2;
    /// Part of the extra requests for fan-outs that is reserved for hosts which carry out a fan-out
    /// because no coordinator took it.
    double reservedForOthers = 0.1;

    bool operator==(const coordinator_settings &) const = default;
};

/// Hosts that carry out fan-outs for the other hosts of their region.
///
/// Answers fleets with more hosts than a backend server accepts connections. If every host asked
/// every server itself, it would have less than one connection to each, a share of the retry budget
/// that does not pay for one lost answer, and would see too few answers to know the state of a
/// server. Under load, connections would be opened, refused and reset, which costs the servers more
/// than the requests. Hosts with a fast link also collect the parts of an answer in a fraction of
/// the time of the others.
///
/// Each host computes the set from its own view of the membership, so views may differ: a
/// coordinator serves what it is asked to, and every host carries out its own fan-outs if no
/// coordinator takes them.
class coordinator_set
{
public:
    /// Every host is a coordinator.
    coordinator_set() = default;

    /// Chooses the coordinators among the `active` hosts: in each region those with the fastest
    /// links. `connectionLimit` is the lowest connection limit of a server that answers parts of
    /// fan-outs; empty if there is none.
    static coordinator_set choose(const coordinator_settings &settings,
                                  const std::vector<member> &active,
                                  const std::map<zone_id, std::string> &regions,
                                  std::optional<std::uint32_t> connectionLimit);

    /// Whether every host carries out its own fan-outs.
    bool isEveryHost() const { return m_coordinators.empty(); }
    /// Whether the host carries out fan-outs for others, or every host does.
    bool contains(const host_id &host) const;
    /// Number of coordinators; 0 if every host is one.
    std::size_t size() const { return m_coordinators.size(); }
    /// Chooses a coordinator for a fan-out that arrived in `zone`, of the same zone if possible and
    /// otherwise of the same region, in proportion to the rates of their links. Skips those for
    /// which `isSkipped` holds; empty if none is left.
    std::optional<member> pick(const zone_id &zone, const std::map<zone_id, std::string> &regions,
                               const std::function<bool(const host_id &)> &isSkipped,
                               random_engine &random) const;

    /// Whether both contain the same hosts.
    bool operator==(const coordinator_set &other) const;

private:
    /// In the order of their ids.
    std::vector<member> m_coordinators;
};

/// Division of the servers of fan-outs among the hosts, seen from one host.
struct coordinator_share
{
    /// Requests in progress that the host may have at each server.
    std::size_t connections = 1;
    /// Number of hosts among which limits that servers name are divided equally.
    std::size_t limitHosts = 1;
    /// Number of hosts among which the base of the retry budget is divided equally. Makes the sum
    /// over all hosts the whole budget, although coordinators have more of it than others.
    std::size_t budgetHosts = 1;

    /// Share of the host `self` in a fleet of `hosts`; empty if every host is a coordinator.
    static std::optional<coordinator_share> of(const coordinator_set &coordinators,
                                               const coordinator_settings &settings,
                                               const host_id &self, std::size_t hosts,
                                               std::uint32_t connectionLimit);

    bool operator==(const coordinator_share &) const = default;
};

} // namespace waxwing
