#include "membership/fact_table.h"

#include "membership/gossip_size.h"

#include <algorithm>

namespace waxwing {

fact_table::fact_table(fact_table_settings settings) : m_settings(settings) { }

bool fact_table::accept(const fact &received, time_point now)
{
    if (!isAcceptable(received))
        return false;
    const fact_key key{received.origin, received.kind, received.subject};
    const entry added{received, now + received.validFor};
    const auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        if (known->second.content.sequence >= received.sequence)
            return false;
        known->second = added;
    } else {
        if (!makeRoom(added.expires))
            return false;
        m_entries.emplace(key, added);
    }
    m_queue.add(key);
    return true;
}

void fact_table::take(time_point now, std::uint32_t limit, std::size_t &bytes,
                      std::vector<fact> &out)
{
    m_queue.take(limit, [&](const fact_key &key) {
        const entry &known = m_entries.at(key);
        // Counts an expired fact as sent so that it eventually leaves the queue.
        if (known.expires <= now)
            return true;
        const std::size_t size = gossipBytes(known.content);
        if (size > bytes)
            return false;
        bytes -= size;
        out.push_back(withRemainingTime(known, now));
        return true;
    });
}

void fact_table::resendAll(time_point now)
{
    for (const auto &[key, known] : m_entries) {
        if (known.expires > now)
            m_queue.add(key);
    }
}

void fact_table::purge(time_point now)
{
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        if (each->second.expires + m_settings.expiredMemory > now) {
            ++each;
            continue;
        }
        m_queue.remove(each->first);
        each = m_entries.erase(each);
    }
}

std::vector<fact> fact_table::valid(time_point now) const
{
    std::vector<fact> result;
    for (const auto &[key, known] : m_entries) {
        if (known.expires > now)
            result.push_back(withRemainingTime(known, now));
    }
    return result;
}

fact fact_table::withRemainingTime(const entry &known, time_point now)
{
    fact result = known.content;
    result.validFor = std::chrono::ceil<std::chrono::milliseconds>(known.expires - now);
    return result;
}

bool fact_table::isAcceptable(const fact &received) const
{
    const bool knownKind =
        received.kind == fact_kind::ServerLeaving || received.kind == fact_kind::RequestQuarantined;
    return knownKind && !received.subject.empty() && !received.origin.value.empty()
        && received.subject.size() <= m_settings.maxSubjectBytes
        && received.origin.value.size() <= m_settings.maxSubjectBytes
        && received.validFor.count() > 0 && received.validFor <= m_settings.maxValidity;
}

bool fact_table::makeRoom(time_point expires)
{
    if (m_entries.size() < m_settings.maxFacts)
        return true;
    const auto first = std::min_element(m_entries.begin(), m_entries.end(),
                                        [](const auto &left, const auto &right) {
                                            return left.second.expires < right.second.expires;
                                        });
    if (first == m_entries.end() || first->second.expires >= expires)
        return false;
    m_queue.remove(first->first);
    m_entries.erase(first);
    return true;
}

} // namespace waxwing
