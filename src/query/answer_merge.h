#pragma once

#include "configuration/configuration.h"
#include "query/search_types.h"

#include <cstdint>
#include <vector>

namespace waxwing {

/// Whether the reply matches `asked`: same service, shard and snapshot, and at most `limit` hits,
/// in order and after the requested position.
bool isReplyTo(const leaf_answer &reply, const leaf_search &asked);

/// Merges the replies of one snapshot into the best hits and the coverage, counting each shard
/// once.
class answer_merge
{
public:
    /// `shards` are those of the snapshot's partitioning and must outlive this object.
    answer_merge(const std::vector<shard> &shards, std::uint32_t limit);

    /// Adds the reply of the shard at `index`; later replies of the same shard are ignored.
    void add(std::size_t index, const leaf_answer &reply);
    /// Share of the documents searched, 0..1. The document counts of missing shards are taken from
    /// the configuration.
    double coverageRatio() const;
    /// Number of shards with a reply.
    std::size_t repliedShards() const { return m_repliedShards; }
    /// Builds the answer from the replies so far.
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
