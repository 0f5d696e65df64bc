#pragma once

#include "configuration/configuration.h"
#include "query/search_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::standins {

/// Documents of one shard: consecutive numbers of the service.
struct document_range
{
    /// First document.
    std::uint64_t first = 0;
    /// Number of documents.
    std::uint64_t count = 0;

    bool operator==(const document_range &) const = default;
};

/// Deterministic documents and hits of one service. Backend servers answer with them, and a
/// checker computes the same hits again.
///
/// The documents of a partitioning are numbered over its shards in order of the shard ids, so that
/// partitionings of the same total have the same documents. About one document in `matchStride`
/// matches a query, and the scores depend on the version, so that hits of another snapshot show.
class document_generator
{
public:
    /// Documents to each match of a query.
    static constexpr std::uint64_t matchStride = 8;

    explicit document_generator(const service &definition);

    /// Documents of a shard; empty if the partitioning does not have the shard.
    std::optional<document_range> range(std::uint32_t generation, const shard_id &shard) const;
    /// All documents of a partitioning; empty if there is no such partitioning.
    std::optional<document_range> wholeRange(std::uint32_t generation) const;
    /// Best `limit` hits among the documents, after the hit `after` where it is set.
    std::vector<hit> search(const document_range &documents, std::uint64_t version,
                            std::string_view query, std::size_t limit,
                            const std::optional<hit> &after = std::nullopt) const;
    /// Id of a document.
    std::string documentId(std::uint64_t number) const;

private:
    service_id m_service;
    std::map<std::uint32_t, std::map<shard_id, document_range>> m_ranges;
};

} // namespace waxwing::standins
