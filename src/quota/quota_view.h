#pragma once

#include "core/strong_id.h"
#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace waxwing {

/// Owners of quotas, as one host sees them. Hosts with equal digests agree on the owner of each
/// organisation. Immutable.
class quota_view
{
public:
    /// Without owners.
    quota_view() = default;
    /// Chooses the owners among the hosts that are alive: in each zone the one with the fastest
    /// link. `hosts` are all known hosts, including the dead ones.
    explicit quota_view(const std::vector<member> &hosts);

    const std::vector<host_id> &owners() const { return m_owners; }
    /// Identifies the set of owners; 0 without any.
    std::uint64_t digest() const { return m_digest; }
    /// Number of hosts that share quotas, at least 1. Includes dead ones: they may be cut off and
    /// still admit requests.
    std::size_t hosts() const { return m_hosts; }
    bool isOwner(const host_id &host) const;
    /// Owner of the organisation with this hash, by rendezvous hashing; null without owners.
    const host_id *ownerOf(std::uint64_t organisation) const;

    bool operator==(const quota_view &) const = default;

private:
    std::vector<host_id> m_owners;
    /// `stableHash` of each owner, in the same order.
    std::vector<std::uint64_t> m_hashes;
    std::uint64_t m_digest = 0;
    std::size_t m_hosts = 1;
};

} // namespace waxwing
