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
struct health_poller_settings
{
    /// Mean time between two polls of a server.
    std::chrono::milliseconds period{2000};
    /// Maximum deviation from the period as a fraction of it. Prevents hosts from polling at the
    /// same time.
    double jitter = 0.2;
    /// Time that connections to a server are kept after this host stopped holding it, so that
    /// searches in progress can finish. Longer than the maximum duration of a search.
    std::chrono::milliseconds releaseDelay{2000};

    bool operator==(const health_poller_settings &) const = default;
};

/// Polls the health of the backend servers of the services that this host holds, and sets the
/// connection limit of each.
class health_poller
{
public:
    explicit health_poller(health_poller_settings settings);

    /// Applies an assignment. New servers are polled immediately; servers that are no longer held
    /// are released after `releaseDelay`. Returns the connection limits that changed.
    std::map<server_id, std::uint32_t> assign(reduce_context &context,
                                              const configuration &document,
                                              const holder_assignment &holders,
                                              const host_id &self);
    /// Sends the polls that are due and releases servers. Returns the limits of released servers
    /// (0).
    std::map<server_id, std::uint32_t> onTick(reduce_context &context);
    /// Time of the next `onTick`; empty if none is needed.
    std::optional<time_point> nextDeadline() const;

private:
    struct target
    {
        endpoint address;
        std::uint32_t connections = 0;
        time_point nextPoll;
        /// Set while the server is no longer held but not yet released.
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
