#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace waxwing {

/// Largest number of observations in one datagram, so that it fits into 1,200 bytes.
constexpr std::size_t maxServerObservations = 40;

/// What a host observed of the processing time of a backend server.
struct server_observation
{
    /// `stableHash` of the server's id and start time, so that an observation does not count for a
    /// later start of the server.
    std::uint64_t server = 0;
    /// Processing time as a percentage of the usual one.
    std::uint32_t slownessPercent = 100;
    /// Age of the observation when it was sent.
    std::chrono::milliseconds age{0};

    bool operator==(const server_observation &) const = default;
};

} // namespace waxwing
