#pragma once

#include "configuration/configuration.h"
#include "events/reduce_context.h"
#include "routing/holder_assignment.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace waxwing {

/// Period of `health_poller`.
struct health_poller_settings
{
    /// Time between two polls of a server.
    std::chrono::milliseconds period{2000};
    /// Largest deviation from the period, as a share of it; keeps hosts from polling together.
    double jitter = 0.2;
    /// Time for which the connections to a server are kept after this host stopped holding it, so
    /// that searches in progress end on them. Longer than a search may take.
    std::chrono::milliseconds releaseDelay{2000};

    bool operator==(const health_poller_settings &) const = default;
};

/// Polls the backend servers of the services that this host holds, and limits its connections.
class health_poller
{
public:
    explicit health_poller(health_poller_settings settings);

    /// Takes over an assignment. Servers that are new are polled soon; those that are no longer
    /// held are released after `releaseDelay`. Returns the limits that changed.
    std::map<server_id, std::uint32_t> assign(reduce_context &context,
                                              const configuration &document,
                                              const holder_assignment &holders,
                                              const host_id &self);
    /// Sends the polls that are due. Returns the limits that changed, those of released servers.
    std::map<server_id, std::uint32_t> onTick(reduce_context &context);
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;

private:
    struct target
    {
        endpoint address;
        std::uint32_t connections = 0;
        time_point nextPoll;
        /// Set once the server is no longer held.
        std::optional<time_point> releaseAt;
    };

    duration jittered(reduce_context &context) const;
    void scheduleReleases(time_point now, const std::map<server_id, std::uint32_t> &held);
    std::map<server_id, std::uint32_t> releaseDue(reduce_context &context);

    health_poller_settings m_settings;
    std::map<server_id, target> m_targets;
    std::set<std::pair<time_point, server_id>> m_schedule;
    std::set<std::pair<time_point, server_id>> m_releases;
};

} // namespace waxwing
