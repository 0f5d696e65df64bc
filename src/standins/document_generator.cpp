#include "standins/document_generator.h"

#include "core/hash.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwing::standins {
namespace {

/// Scores are multiples of 2^-20 below 1. They are exact in JSON, and coarse enough for ties.
double scoreOf(std::uint64_t hash)
{
    constexpr int scoreBits = 20;
    return static_cast<double>(hash >> (64 - scoreBits)) / (1U << scoreBits);
}

std::uint64_t hashOf(std::uint64_t number, std::uint64_t seed)
{
    return stableHash({reinterpret_cast<const char *>(&number), sizeof number}, seed);
}

} // namespace

document_generator::document_generator(const service &definition) : m_service(definition.id)
{
    for (const partitioning &division : definition.partitionings) {
        std::map<shard_id, std::uint64_t> sizes;
        for (const shard &part : division.shards)
            sizes[part.id] = part.documents;
        std::uint64_t next = 0;
        for (const auto &[id, documents] : sizes) {
            m_ranges[division.generation][id] = {next, documents};
            next += documents;
        }
    }
}

std::optional<document_range> document_generator::range(std::uint32_t generation,
                                                        const shard_id &shard) const
{
    const auto division = m_ranges.find(generation);
    if (division == m_ranges.end())
        return std::nullopt;
    const auto found = division->second.find(shard);
    return found == division->second.end() ? std::nullopt : std::optional(found->second);
}

std::optional<document_range> document_generator::wholeRange(std::uint32_t generation) const
{
    const auto division = m_ranges.find(generation);
    if (division == m_ranges.end())
        return std::nullopt;
    document_range result;
    for (const auto &[id, documents] : division->second)
        result.count += documents.count;
    return result;
}

std::vector<hit> document_generator::search(const document_range &documents, std::uint64_t version,
                                            std::string_view query, std::size_t limit,
                                            const std::optional<hit> &after) const
{
    const std::uint64_t seed = stableHash(query, stableHash(m_service.value, version));
    std::vector<hit> hits;
    // The first matching number from the start of the range on.
    const std::uint64_t skip = (seed + matchStride - documents.first % matchStride) % matchStride;
    for (std::uint64_t i = skip; i < documents.count; i += matchStride) {
        const std::uint64_t number = documents.first + i;
        hit found{"", scoreOf(hashOf(number, seed))};
        if (after && found.score > after->score)
            continue;
        found.id = documentId(number);
        if (!after || ranksBefore(*after, found))
            hits.push_back(std::move(found));
    }
    const auto wanted = static_cast<std::ptrdiff_t>(std::min(limit, hits.size()));
    std::partial_sort(hits.begin(), hits.begin() + wanted, hits.end(), ranksBefore);
    hits.resize(static_cast<std::size_t>(wanted));
    return hits;
}

std::string document_generator::documentId(std::uint64_t number) const
{
    return fmt::format("{}-{:09}", m_service.value, number);
}

} // namespace waxwing::standins
