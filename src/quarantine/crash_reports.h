#pragma once

#include "events/reduce_context.h"
#include "membership/membership.h"
#include "quarantine/request_quarantine.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace waxwing {

/// Exchange of single crashes between hosts.
///
/// A request that crashes one server at each of many hosts is known to none of them. Each host
/// reports such a crash to the same few hosts, which rendezvous hashing of the fingerprint chooses
/// from the members. They add the reports up and publish the count. A report costs as many
/// datagrams in a large fleet as in a small one.
class crash_reports
{
public:
    /// Hosts that add up the crashes of a request. With two, one of them may have just stopped, or
    /// be chosen differently by a host that knows other members.
    static constexpr std::size_t collectors = 2;

    /// Collectors of a request among the active members; may contain this host.
    static std::vector<member> collectorsOf(std::uint64_t fingerprint, const membership &members);
    /// Sends reports to the collectors of their requests.
    static void send(reduce_context &context, const membership &members,
                     const std::vector<crash_report> &reports);
    /// Reads a report from a fact of kind `RequestCrash`; empty if it is malformed.
    static std::optional<crash_report> read(const fact &received);
};

} // namespace waxwing
