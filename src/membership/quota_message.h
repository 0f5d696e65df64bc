#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwing {

/// Largest number of organisations in one quota message, so that it fits into one datagram.
constexpr std::size_t maxQuotaEntries = 16;

/// What a quota message says about one organisation.
struct quota_entry
{
    /// `stableHash` of the organisation's name.
    std::uint64_t organisation = 0;
    /// Requests that the host admitted without a permit since its start. An answer repeats the
    /// number up to which the owner has counted them.
    std::uint64_t used = 0;
    /// Report: the part of `used` that an owner has acknowledged.
    std::uint64_t acknowledged = 0;
    /// Report: number of requests that wait for a permit.
    std::uint32_t wanted = 0;
    /// Report: the part of `wanted` that can no longer be answered within its latency target. Hosts
    /// of older builds do not state it.
    std::uint32_t late = 0;
    /// Permits that were granted to the host since its start. In a report, those that it received.
    /// Totals, so that permits in a lost answer are not lost.
    std::uint64_t permits = 0;
    /// Report: permits that the host received but did not use, since its start.
    std::uint64_t unused = 0;
    /// Answer: whether requests need a permit.
    bool isLimited = false;
    /// Answer: time until the next permit can be granted to any host.
    std::chrono::milliseconds nextPermit{0};
    /// Answer: time until the turn of the first request that got no permit.
    std::chrono::milliseconds due{0};

    bool operator==(const quota_entry &) const = default;
};

/// Usage report of a host to an owner of quotas, or the owner's answer or notice.
struct quota_message
{
    /// Number of the report, increasing at the host. An answer repeats it; 0 for a notice.
    std::uint64_t sequence = 0;
    /// Report: wall time of the host's start in milliseconds. Its totals begin again with each
    /// start.
    std::uint64_t epoch = 0;
    /// Number of the owner's message, increasing at the owner; 0 in a report.
    std::uint64_t stamp = 0;
    /// Digest of the owners that the sender knows.
    std::uint64_t view = 0;
    /// Answer: whether the sender owns quotas by the same choice of owners as the receiver.
    bool isServing = false;
    std::vector<quota_entry> entries;

    bool operator==(const quota_message &) const = default;
};

} // namespace waxwing
