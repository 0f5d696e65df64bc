#pragma once

#include "core/clock.h"
#include "core/strong_id.h"
#include "organisations/fair_queue.h"

#include <absl/container/flat_hash_map.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace waxwing::relay {

/// Whose turn it is when a part waits, if the routes name organisations.
struct waiting_customer
{
    /// Rank of the organisation; lower ranks are served first, whatever the route.
    std::uint32_t rank = 0;
    /// Empty for all callers without an organisation together.
    organisation_id id;
    /// Share of the organisation relative to others of its rank.
    double weight = 1;

    auto operator<=>(const waiting_customer &) const = default;
};

/// Part of a request that waits for a server. Members are in comparison order: lower rank first,
/// then earlier deadline.
struct waiting_part
{
    /// Rank of the route; lower ranks are served first.
    std::uint32_t rank = 0;
    /// Time at which the part stops waiting.
    time_point until;
    request_id request;
    /// Index of the part in the request.
    std::size_t part = 0;
    waiting_customer customer{};

    auto operator<=>(const waiting_part &) const = default;
};

/// Queues of request parts that wait for a free server, one per service.
///
/// Handles services whose servers have all reached their limit of requests in progress. Parts wait
/// on the host because its queue is ordered and parts can be removed from it, whereas the queues of
/// the servers are first come, first served. The order is by rank of the organisation, then by rank
/// of the route. Organisations of equal rank share by weight, and parts of one organisation are
/// ordered by deadline.
class waiting_part_queue
{
public:
    void add(const service_id &service, const waiting_part &waiting);
    /// Removes a part that was not sent. Does nothing if it is not in the queue.
    void remove(const service_id &service, const waiting_part &waiting);
    /// Removes a part that is sent, which counts towards the share of its organisation. Does
    /// nothing if it is not in the queue.
    void serve(const service_id &service, const waiting_part &waiting);
    /// Returns the part to serve next; empty if none waits.
    std::optional<waiting_part> first(const service_id &service) const;
    /// The same, without the parts for which `isSkipped` holds.
    std::optional<waiting_part>
    first(const service_id &service,
          const std::function<bool(const waiting_part &)> &isSkipped) const;
    bool isEmpty(const service_id &service) const;
    /// Number of waiting parts that are served before a new part of that rank of route and that
    /// organisation, without those for which `isSkipped` holds. Parts of the same organisation and
    /// an equal or lower rank are assumed to be.
    std::size_t countAhead(
        const service_id &service, std::uint32_t rank, const waiting_customer &customer = {},
        const std::function<bool(const waiting_part &)> &isSkipped = [](const auto & /*part*/) {
            return false;
        }) const;

private:
    /// Rank of the organisation and of the route.
    using rank_pair = std::pair<std::uint32_t, std::uint32_t>;
    using queue = std::map<rank_pair, fair_queue<waiting_part>>;

    static rank_pair ranksOf(const waiting_part &waiting);
    template<typename Removal>
    void take(const service_id &service, const waiting_part &waiting, Removal removal);

    /// Contains no queues that are forgettable.
    absl::flat_hash_map<service_id, queue> m_queues;
};

} // namespace waxwing::relay
