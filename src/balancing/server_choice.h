#pragma once

#include "balancing/load_report.h"
#include "core/clock.h"
#include "core/random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace waxwing {

/// Server that can receive a request, as this host knows it.
struct server_candidate
{
    /// States in order of preference. A worse state is chosen only if no server has a better one.
    enum class state_kind { Healthy, Degraded, Unlisted };

    state_kind state = state_kind::Healthy;
    /// Cost of the traffic to the server. Servers are only mixed with those of the same cost.
    duration trafficCost{};
    /// Zone whose servers are not mixed with those of other zones; empty if they are. Valid during
    /// the choice.
    std::string_view separateZone{};
    /// Expected time and the costs of failures and traffic, without this host's requests in
    /// progress.
    duration cost{};
    /// Additional expected time because of this host's requests in progress.
    duration queueCost{};
    /// Requests of this host that are in progress, plus those sent recently.
    double ownRequests = 0;
    /// Requests that the server runs at a time.
    std::uint32_t slots = 1;
    /// Latest load report; empty if there is none.
    std::optional<aged_load_report> report{};

    bool operator==(const server_candidate &) const = default;
};

/// Result of `server_choice::choose`.
struct server_selection
{
    /// Index of the candidate.
    std::size_t index = 0;
    /// Requests sent recently that the server should be counted with from now on. More than it has
    /// received if it is new or in use again, since it would be preferred until it caught up.
    double ownRequests = 0;
    /// Weight with which the request is added to them. Above 1 if the server reported more load
    /// than others.
    double weight = 1;

    bool operator==(const server_selection &) const = default;
};

/// Settings of `server_choice`.
struct server_choice_settings
{
    /// Servers whose costs differ by at most this fraction of the usual processing time cost about
    /// the same. Covers the error of slowness estimates, which are averages of few answers.
    double equalCostShare = 0.4;
    /// Size of the random part, in requests. Without it, hosts that know the same would choose the
    /// same server.
    double randomRequests = 0.5;
    /// Requests by which a server may be behind the mean of this host's recent requests. One that
    /// is further behind is new or in use again, and counts as at the mean. Otherwise all hosts
    /// would send it their next requests at once.
    double maxDeficit = 1;
    /// Relative decrease of a server's share for a reported backlog of one request per slot above
    /// the mean. Below 1, so that reports that arrive late do not cause oscillation.
    double reportGain = 0.5;
    /// Upper bound of a backlog, in requests per slot, so that one report does not determine the
    /// mean.
    double maxBacklog = 4;
    /// Upper bound of the time for which a report is used, for a long backlog that is never
    /// updated.
    std::chrono::milliseconds maxReportValidity{1000};
    /// Bounds of the factor by which a report changes a server's share.
    double minReportFactor = 0.5;
    double maxReportFactor = 1.5;

    bool operator==(const server_choice_settings &) const = default;
};

/// Choice of a server for a request, so that many hosts with the same knowledge do not choose the
/// same one at the same moment.
///
/// The server with the lowest cost determines the state and traffic cost. Among the servers of
/// about its cost, each host spreads its own requests evenly in random order. Load reports change
/// the shares of the servers; their effect decreases with their age. See docs/design/even-load.md.
class server_choice
{
public:
    explicit server_choice(const server_choice_settings &settings) : m_settings(settings) { }

    /// Returns the candidate to use; empty if there is none. `processingTime` is the usual
    /// processing time of the request. Uses no random number if one server is best by its cost.
    std::optional<server_selection> choose(std::span<const server_candidate> candidates,
                                           duration processingTime, random_engine &random) const;

private:
    std::vector<std::size_t> equals(std::span<const server_candidate> candidates,
                                    duration processingTime) const;
    double reportFactor(const server_candidate &candidate, double meanBacklog,
                        duration processingTime) const;

    server_choice_settings m_settings;
};

} // namespace waxwing
