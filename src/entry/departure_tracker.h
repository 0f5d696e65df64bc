#pragma once

#include "backends/backend_pool.h"
#include "events/reduce_context.h"
#include "membership/membership.h"

#include <map>
#include <optional>
#include <vector>

namespace waxwing {
/// Tracks leaving backend servers from three sources: the platform's list, facts from peers and the
/// servers' own health reports. Publishes its own observations to peers.
class departure_tracker
{
public:
    /// Validity of a published departure. It is renewed after half of this time while the platform
    /// or the server still reports it.
    static constexpr std::chrono::milliseconds publishedValidity{60000};

    /// Applies the platform's list of leaving servers. Servers that are missing are no longer
    /// listed.
    void onPlatformList(reduce_context &context, backend_pool &backends, membership &members,
                        const std::vector<server_id> &listed);
    /// Applies the draining states that servers reported about themselves.
    void onSelfReports(reduce_context &context, backend_pool &backends, membership &members,
                       const std::vector<draining_report> &reports);
    /// Applies a departure that another host published.
    void onFact(reduce_context &context, backend_pool &backends, const fact &received);
    /// Renews published departures and removes expired ones.
    void onTick(reduce_context &context, backend_pool &backends, membership &members);
    /// Time of the next `onTick`; empty if none is needed.
    std::optional<time_point> nextDeadline() const;
    /// Marks every known departure in `backends` again; needed after a new configuration.
    void reapply(backend_pool &backends) const;

private:
    struct departure
    {
        bool listed = false;
        bool reported = false;
        std::optional<time_point> peerReportExpiresAt;
        std::optional<time_point> renewAt;

        bool isObserved() const { return listed || reported; }
    };

    void update(reduce_context &context, backend_pool &backends, membership &members,
                const server_id &server);

    std::map<server_id, departure> m_departures;
};

} // namespace waxwing
