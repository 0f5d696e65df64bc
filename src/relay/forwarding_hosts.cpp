#include "relay/forwarding_hosts.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waxwing::relay {

void forwarding_hosts::onHelped(const host_id &host, time_point now)
{
    m_outcomes[host] = {outcome_kind::Helped, now};
}

void forwarding_hosts::onUnable(const host_id &host, time_point now)
{
    m_outcomes[host] = {outcome_kind::Unable, now};
}

void forwarding_hosts::onLate(const host_id &host, time_point now)
{
    m_outcomes[host] = {outcome_kind::Late, now};
}

bool forwarding_hosts::hasHelper(time_point now)
{
    removeExpired(now);
    return std::any_of(m_outcomes.begin(), m_outcomes.end(),
                       [](const auto &entry) { return entry.second.kind == outcome_kind::Helped; });
}

std::optional<member> forwarding_hosts::choose(const std::map<host_id, member> &members,
                                               const host_id &self,
                                               const std::vector<host_id> &tried,
                                               const placement &where, const zone_latencies &zones,
                                               random_engine &random, time_point now)
{
    removeExpired(now);
    std::map<zone_id, std::size_t> unable;
    std::set<zone_id> helping;
    for (const auto &[host, last] : m_outcomes) {
        const auto known = members.find(host);
        if (known == members.end())
            continue;
        if (last.kind == outcome_kind::Helped)
            helping.insert(known->second.zone);
        else
            ++unable[known->second.zone];
    }
    // Lower is better: hosts that are not late, zones that are not avoided, then the distance, then
    // hosts that have helped.
    using rank = std::tuple<bool, bool, zone_locality, bool>;
    std::optional<rank> best;
    std::vector<const member *> candidates;
    for (const auto &[host, each] : members) {
        const auto last = m_outcomes.find(host);
        const auto isKnownAs = [&](outcome_kind kind) {
            return last != m_outcomes.end() && last->second.kind == kind;
        };
        const bool helped = isKnownAs(outcome_kind::Helped);
        const bool failed = isKnownAs(outcome_kind::Unable);
        if (host == self || each.state != member_state::Alive || failed || !where.allows(each.zone)
            || std::find(tried.begin(), tried.end(), host) != tried.end())
            continue;
        const bool isAvoided = !helped && helping.count(each.zone) == 0
            && unable[each.zone] >= m_settings.hostsToAvoidZone;
        const rank current{isKnownAs(outcome_kind::Late), isAvoided, zones.locality(each.zone),
                           !helped};
        if (best.has_value() && *best < current)
            continue;
        if (!best.has_value() || current < *best)
            candidates.clear();
        best = current;
        candidates.push_back(&each);
    }
    if (candidates.empty())
        return std::nullopt;
    return *candidates[random(static_cast<std::uint32_t>(candidates.size()))];
}

void forwarding_hosts::removeExpired(time_point now)
{
    std::erase_if(m_outcomes, [this, now](const auto &entry) {
        const outcome &last = entry.second;
        return now - last.at >= (last.kind == outcome_kind::Helped ? m_settings.helpfulTime
                                                                   : m_settings.unhelpfulTime);
    });
}

} // namespace waxwing::relay
