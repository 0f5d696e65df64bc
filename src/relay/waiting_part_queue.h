#pragma once

#include "core/clock.h"
#include "core/strong_id.h"

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace waxwing::relay {

/// Part of a request that waits for a server, in the order in which waiting parts are served.
struct waiting_part
{
    /// Rank of the route.
    std::uint32_t rank = 0;
    /// When the wait is given up.
    time_point until;
    /// Number of the request.
    request_id request;
    /// Part of the request.
    std::size_t part = 0;

    auto operator<=>(const waiting_part &) const = default;
};

/// Parts of requests that wait for a free server, by service.
///
/// The load pattern that this answers: all servers of a service have as many requests as they may
/// have. The queue is at the host, where the order is that of rank and deadline and where a part
/// can leave it; the queues of the servers are first come, first served.
class waiting_part_queue
{
public:
    /// Adds a part.
    void add(const service_id &service, const waiting_part &waiting);
    /// Removes a part; does nothing if it does not wait.
    void remove(const service_id &service, const waiting_part &waiting);
    /// The part that is served next; empty if none waits.
    std::optional<waiting_part> first(const service_id &service) const;
    /// Whether no part waits for the service.
    bool isEmpty(const service_id &service) const { return !m_queues.contains(service); }
    /// Parts that are served before a new one of `rank`.
    std::size_t countAhead(const service_id &service, std::uint32_t rank) const;

private:
    /// Queues that are not empty.
    absl::flat_hash_map<service_id, std::set<waiting_part>> m_queues;
};

} // namespace waxwing::relay
