#include "membership/member_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace waxwing {

member_table::member_table(member_table_settings settings) : m_settings(settings) { }

void member_table::setSelf(const member &self)
{
    m_self = self.host;
    const auto [known, added] = m_members.try_emplace(self.host, self);
    if (added)
        setActive(self.host, isActive(self.state));
    else
        replace(known->second, self);
}

const member &member_table::self() const
{
    static const member none;
    const member *known = find(m_self);
    return known != nullptr ? *known : none;
}

member_table::change member_table::merge(const member &record, time_point now,
                                         duration suspicionTime)
{
    auto known = m_members.find(record.host);
    change result = change::Updated;
    if (known == m_members.end()) {
        // Dead records of unknown members are ignored. Disseminating them further would keep them
        // in the memory of some host forever.
        if (record.state == member_state::Dead || m_members.size() >= m_settings.maxMembers)
            return change::None;
        known = m_members.emplace(record.host, record).first;
        setActive(record.host, isActive(record.state));
        result = change::Joined;
    } else {
        member &current = known->second;
        if (std::pair(record.incarnation, record.state)
            <= std::pair(current.incarnation, current.state)) {
            current.configurationRevision =
                std::max(current.configurationRevision, record.configurationRevision);
            // Hosts of an earlier version pass records on without the rate.
            current.linkMbps = std::max(current.linkMbps, record.linkMbps);
            return change::None;
        }
        if (current.state == member_state::Dead && record.state != member_state::Dead)
            result = change::Revived;
        replace(current, record);
    }

    std::optional<time_point> due;
    if (record.state == member_state::Suspect)
        due = now + suspicionTime;
    else if (record.state == member_state::Dead)
        due = now + m_settings.deadMemory;
    setDeadline(record.host, due);
    return result;
}

std::vector<host_id> member_table::expire(time_point now)
{
    std::vector<host_id> died;
    while (!m_deadlineOrder.empty() && m_deadlineOrder.begin()->first <= now) {
        const host_id host = m_deadlineOrder.begin()->second;
        member &known = m_members.at(host);
        if (known.state == member_state::Suspect) {
            member dead = known;
            dead.state = member_state::Dead;
            replace(known, dead);
            setDeadline(host, now + m_settings.deadMemory);
            died.push_back(host);
        } else {
            setDeadline(host, std::nullopt);
            m_members.erase(host);
        }
    }
    return died;
}

void member_table::delaySuspicions(duration pause)
{
    const auto due = m_deadlines;
    for (const auto &[host, at] : due) {
        if (m_members.at(host).state == member_state::Suspect)
            setDeadline(host, at + pause);
    }
}

std::optional<time_point> member_table::nextDeadline() const
{
    if (m_deadlineOrder.empty())
        return std::nullopt;
    return m_deadlineOrder.begin()->first;
}

const member *member_table::find(const host_id &host) const
{
    const auto found = m_members.find(host);
    return found != m_members.end() ? &found->second : nullptr;
}

std::vector<member> member_table::active() const
{
    std::vector<member> result;
    result.reserve(m_activeHosts.size());
    for (const auto &[host, each] : m_members) {
        if (isActive(each.state))
            result.push_back(each);
    }
    return result;
}

std::vector<member> member_table::chooseActive(std::size_t count, const host_id &excluded,
                                               random_engine &random) const
{
    std::vector<member> chosen;
    const std::size_t size = m_activeHosts.size();
    if (size == 0)
        return chosen;
    // Starts at a random index and advances by a random step that is coprime to the number of
    // hosts, so that each index is visited once.
    const auto bound = static_cast<std::uint32_t>(size);
    std::size_t place = random(bound);
    std::size_t step = 1 + random(bound);
    while (std::gcd(step, size) != 1)
        ++step;
    for (std::size_t seen = 0; seen < size && chosen.size() < count; ++seen) {
        const host_id &host = m_activeHosts[place];
        if (host != excluded && host != m_self)
            chosen.push_back(m_members.at(host));
        place = (place + step) % size;
    }
    return chosen;
}

bool member_table::isActive(member_state state)
{
    return state == member_state::Alive || state == member_state::Suspect;
}

void member_table::replace(member &known, const member &record)
{
    const bool moved =
        known.zone != record.zone || known.gossip != record.gossip || known.peer != record.peer;
    setActive(record.host, isActive(record.state));
    if (isActive(known.state) && isActive(record.state) && moved)
        ++m_activeVersion;
    known = record;
}

void member_table::setActive(const host_id &host, bool active)
{
    const auto known = m_activePositions.find(host);
    if (active == (known != m_activePositions.end()))
        return;
    ++m_activeVersion;
    if (active) {
        m_activePositions.emplace(host, m_activeHosts.size());
        m_activeHosts.push_back(host);
        return;
    }
    const std::size_t place = known->second;
    m_activePositions[m_activeHosts.back()] = place;
    std::swap(m_activeHosts[place], m_activeHosts.back());
    m_activeHosts.pop_back();
    m_activePositions.erase(host);
}

void member_table::setDeadline(const host_id &host, std::optional<time_point> due)
{
    const auto known = m_deadlines.find(host);
    if (known != m_deadlines.end()) {
        m_deadlineOrder.erase({known->second, host});
        m_deadlines.erase(known);
    }
    if (due) {
        m_deadlines.emplace(host, *due);
        m_deadlineOrder.emplace(*due, host);
    }
}

} // namespace waxwing
