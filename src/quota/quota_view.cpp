#include "quota/quota_view.h"

#include "core/hash.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace waxwing {
namespace {

/// Finalizer of splitmix64: every bit of the result depends on every bit of the input.
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

quota_view::quota_view(const std::vector<member> &hosts)
    : m_hosts(std::max<std::size_t>(hosts.size(), 1))
{
    const auto isBefore = [](const member &left, const member &right) {
        return std::tuple(right.linkMbps, stableHash(left.host.value), left.host)
            < std::tuple(left.linkMbps, stableHash(right.host.value), right.host);
    };
    std::map<zone_id, const member *> best;
    for (const member &each : hosts) {
        if (each.state != member_state::Alive)
            continue;
        const auto [entry, isNew] = best.try_emplace(each.zone, &each);
        if (!isNew && isBefore(each, *entry->second))
            entry->second = &each;
    }
    for (const auto &[zone, owner] : best)
        m_owners.push_back(owner->host);
    std::sort(m_owners.begin(), m_owners.end());
    for (const host_id &owner : m_owners) {
        m_hashes.push_back(stableHash(owner.value));
        m_digest = stableHash(owner.value, m_digest + 1);
    }
}

bool quota_view::isOwner(const host_id &host) const
{
    return std::binary_search(m_owners.begin(), m_owners.end(), host);
}

const host_id *quota_view::ownerOf(std::uint64_t organisation) const
{
    const host_id *result = nullptr;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < m_owners.size(); ++i) {
        const std::uint64_t weight = mixed(organisation ^ m_hashes[i]);
        if (result == nullptr || weight > highest) {
            result = &m_owners[i];
            highest = weight;
        }
    }
    return result;
}

} // namespace waxwing
