#include "placement/evacuation_table.h"

#include <algorithm>

namespace waxwing {

evacuation_table::change_list evacuation_table::put(const zone_id &zone, std::uint64_t revision)
{
    const auto [known, isNew] = m_revisions.try_emplace(zone, revision);
    known->second = std::max(known->second, revision);
    m_held.erase(zone);
    return isNew ? change_list{{zone, true}} : change_list();
}

evacuation_table::change_list evacuation_table::remove(const zone_id &zone, std::uint64_t revision)
{
    const auto known = m_revisions.find(zone);
    if (known == m_revisions.end() || revision < known->second)
        return {};
    m_revisions.erase(known);
    m_held.erase(zone);
    return {{zone, false}};
}

evacuation_table::change_list
evacuation_table::replace(const std::map<zone_id, std::uint64_t> &listed, std::uint64_t revision,
                          time_point now)
{
    change_list changes;
    for (auto known = m_revisions.begin(); known != m_revisions.end();) {
        const bool isOlder = revision < known->second;
        const bool isHeld = known->second == 0 && now < m_heldUntil;
        if (listed.contains(known->first) || isOlder || isHeld) {
            if (!listed.contains(known->first) && isHeld)
                m_held.insert(known->first);
            ++known;
            continue;
        }
        changes.push_back({known->first, false});
        m_held.erase(known->first);
        known = m_revisions.erase(known);
    }
    for (const auto &[zone, at] : listed) {
        const change_list added = put(zone, at);
        changes.insert(changes.end(), added.begin(), added.end());
    }
    return changes;
}

void evacuation_table::onRestore(time_point now)
{
    // Revisions of the era before are not comparable with the new ones.
    for (auto &[zone, revision] : m_revisions)
        revision = 0;
    m_held.clear();
    m_heldUntil = now + restoreGracePeriod;
}

evacuation_table::change_list evacuation_table::expire(time_point now)
{
    change_list changes;
    if (m_held.empty() || now < m_heldUntil)
        return changes;
    for (const zone_id &zone : m_held) {
        m_revisions.erase(zone);
        changes.push_back({zone, false});
    }
    m_held.clear();
    return changes;
}

std::optional<time_point> evacuation_table::nextExpiry() const
{
    return m_held.empty() ? std::nullopt : std::optional(m_heldUntil);
}

std::set<zone_id> evacuation_table::zones() const
{
    std::set<zone_id> result;
    for (const auto &[zone, revision] : m_revisions)
        result.insert(zone);
    return result;
}

} // namespace waxwing
