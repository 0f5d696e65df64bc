#pragma once

#include "backends/backend_pool.h"
#include "events/reduce_context.h"
#include "membership/membership.h"

#include <map>
#include <optional>
#include <vector>

namespace waxwing {

/// Combines what the platform's list, peers and the servers themselves say about leaving backend
/// servers, and tells peers what is new.
class departure_tracker
{
public:
    /// Time that a published departure is valid; renewed while it is still seen.
    static constexpr std::chrono::milliseconds publishedValidity{60000};

    /// Takes over the platform's list.
    void onList(reduce_context &context, backend_pool &backends, membership &members,
                const std::vector<server_id> &listed);
    /// Takes over what servers said about themselves.
    void onSelfReports(reduce_context &context, backend_pool &backends, membership &members,
                       const std::vector<draining_report> &reports);
    /// Takes over a fact of another host.
    void onFact(reduce_context &context, backend_pool &backends, const fact &heard);
    /// Renews and ends departures that are due.
    void onTick(reduce_context &context, backend_pool &backends, membership &members);
    /// When `onTick` is next due.
    std::optional<time_point> nextDeadline() const;
    /// Marks every known departure again, after a new configuration.
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
