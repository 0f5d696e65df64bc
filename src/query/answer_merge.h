#pragma once

#include "configuration/configuration.h"
#include "query/search_types.h"

#include <cstdint>
#include <vector>

namespace waxwing {

/// Whether the reply answers exactly `asked`: same shard and snapshot, and hits as asked for.
bool isReplyTo(const leaf_answer &reply, const leaf_search &asked);

/// Best hits and coverage of the replies of one snapshot, each shard once.
class answer_merge
{
public:
    /// Starts with no reply; `shards` are those of the snapshot's partitioning.
    answer_merge(const std::vector<shard> &shards, std::uint32_t limit);

    /// Adds the reply of the shard at `index`; a further reply of the same shard is ignored.
    void add(std::size_t index, const leaf_answer &reply);
    /// Share of the documents searched, 0..1; documents of missing shards are taken from the
    /// configuration.
    double coverageRatio() const;
    /// Number of shards with a reply.
    std::size_t repliedShards() const { return m_repliedShards; }
    /// The answer with the replies so far.
    search_answer finish(const service_id &service, const snapshot &at) const;

private:
    const std::vector<shard> *m_shards;
    std::uint32_t m_limit;
    std::vector<bool> m_replied;
    std::size_t m_repliedShards = 0;
    std::vector<hit> m_hits;
    std::uint64_t m_searched = 0;
    std::uint64_t m_total = 0;
    bool m_mayHaveMore = false;
};

} // namespace waxwing
