#include "query/answer_merge.h"

#include <algorithm>
#include <iterator>

namespace waxwing {

bool isReplyTo(const leaf_answer &reply, const leaf_search &asked)
{
    if (reply.service != asked.service || reply.shard != asked.shard || reply.at != asked.at)
        return false;
    if (reply.documentsSearched > reply.documentsTotal || reply.hits.size() > asked.limit)
        return false;
    if (asked.after.has_value() && !reply.hits.empty()
        && !ranksBefore(*asked.after, reply.hits.front()))
        return false;
    // The order is strict, so a duplicate hit is rejected too.
    return std::adjacent_find(
               reply.hits.begin(), reply.hits.end(),
               [](const hit &left, const hit &right) { return !ranksBefore(left, right); })
        == reply.hits.end();
}

answer_merge::answer_merge(const std::vector<shard> &shards, std::uint32_t limit)
    : m_shards(&shards), m_limit(limit), m_replied(shards.size(), false)
{
    for (const shard &part : shards)
        m_total += part.documents;
}

void answer_merge::add(std::size_t index, const leaf_answer &reply)
{
    if (m_replied[index])
        return;
    m_replied[index] = true;
    ++m_repliedShards;
    m_searched += reply.documentsSearched;
    m_total += reply.documentsTotal;
    m_total -= (*m_shards)[index].documents;
    if (reply.hits.empty())
        return;
    const std::size_t combinedSize = m_hits.size() + reply.hits.size();
    m_mayHaveMore = m_mayHaveMore || combinedSize > m_limit || reply.hits.size() == m_limit;
    if (m_hits.size() == m_limit && !ranksBefore(reply.hits.front(), m_hits.back()))
        return;
    std::vector<hit> merged;
    merged.reserve(combinedSize);
    std::merge(std::make_move_iterator(m_hits.begin()), std::make_move_iterator(m_hits.end()),
               reply.hits.begin(), reply.hits.end(), std::back_inserter(merged), ranksBefore);
    if (merged.size() > m_limit)
        merged.resize(m_limit);
    m_hits = std::move(merged);
}

double answer_merge::coverageRatio() const
{
    return m_total == 0 ? 1.0 : static_cast<double>(m_searched) / static_cast<double>(m_total);
}

search_answer answer_merge::finish(const service_id &service, const snapshot &at) const
{
    search_answer answer;
    answer.service = service;
    answer.at = at;
    answer.hits = m_hits;
    answer.coverage.documentsSearched = m_searched;
    answer.coverage.documentsTotal = m_total;
    for (std::size_t i = 0; i < m_replied.size(); ++i)
        if (!m_replied[i] && (*m_shards)[i].documents != 0)
            answer.coverage.missingShards.push_back((*m_shards)[i].id);
    if (m_mayHaveMore && !m_hits.empty())
        answer.next = page_cursor{at, m_hits.back()};
    return answer;
}

} // namespace waxwing
