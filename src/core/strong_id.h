#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace waxwing {

/// A value of `Value` that only mixes with ids of the same `Tag`.
template<typename Tag, typename Value>
struct strong_id
{
    /// The underlying value.
    Value value{};

    auto operator<=>(const strong_id &) const = default;
};

/// Id of a query service, such as `brief-desk-01`.
using service_id = strong_id<struct service_tag, std::string>;
/// Id of a shard, unique within one partitioning of a service.
using shard_id = strong_id<struct shard_tag, std::string>;
/// Id of a backend server.
using server_id = strong_id<struct server_tag, std::string>;
/// Id of an entry host.
using host_id = strong_id<struct host_tag, std::string>;
/// Id of an organisation, a customer of the operators.
using organisation_id = strong_id<struct organisation_tag, std::string>;
/// Id of an availability zone.
using zone_id = strong_id<struct zone_tag, std::string>;
/// Number of a caller's request, unique within one incarnation of an entry host.
using request_id = strong_id<struct request_tag, std::uint64_t>;
/// Number of one request sent onwards: to a backend server, to a peer or to the platform.
/// Unique within one incarnation of an entry host.
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>;

} // namespace waxwing

/// Hashes a strong id by its value.
template<typename Tag, typename Value>
struct std::hash<waxwing::strong_id<Tag, Value>>
{
    std::size_t operator()(const waxwing::strong_id<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};
