#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace waxwing {

/// Numbers of requests of an organisation with a quota, by outcome.
struct quota_counts
{
    std::uint64_t granted = 0;
    /// Refused by the quota.
    std::uint64_t refused = 0;
    /// Refused for lack of room on the host.
    std::uint64_t noRoom = 0;

    bool operator==(const quota_counts &) const = default;
};

/// Counts the requests of the organisations with the most requests, and of the others together.
///
/// Uses the space-saving algorithm: an organisation that is not counted yet replaces the one with
/// the lowest rank and continues from there. Memory is bounded, and an organisation with more than
/// 1 / `capacity` of the latest requests is always among the counted ones.
class busiest_organisations
{
public:
    explicit busiest_organisations(std::size_t capacity) : m_capacity(capacity) { }

    /// Counts one request. `outcome` is the member of `quota_counts` to increment.
    void count(const std::string &organisation, std::uint64_t quota_counts::*outcome);

    /// Counts of the busiest organisations, since they became part of them.
    std::map<std::string, quota_counts> busiest() const;
    /// Counts of all others, including those that were replaced.
    const quota_counts &others() const { return m_others; }

private:
    struct counted
    {
        /// Upper bound of the organisation's requests, decaying.
        std::uint64_t rank = 0;
        quota_counts counts;
    };

    void replaceLowest(const std::string &organisation);
    void decay();

    std::size_t m_capacity;
    std::map<std::string, counted> m_counted;
    quota_counts m_others;
    std::uint64_t m_sinceDecay = 0;
};

} // namespace waxwing
