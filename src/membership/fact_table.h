#pragma once

#include "core/clock.h"
#include "membership/member.h"
#include "membership/transmission_queue.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace waxwing {

/// Limits of `fact_table`.
struct fact_table_settings
{
    /// Maximum number of facts; above it, those that expire first are dropped.
    std::size_t maxFacts = 1000;
    /// Maximum size of a subject or origin, in bytes. A fact and the sender must fit into one
    /// datagram.
    std::size_t maxSubjectBytes = 256;
    /// Maximum validity of an accepted fact.
    std::chrono::milliseconds maxValidity{3600000};
    /// How long an expired fact is kept so that a delayed copy is not accepted again.
    std::chrono::milliseconds expiredMemory{30000};

    bool operator==(const fact_table_settings &) const = default;
};

/// Stores the fact with the highest sequence for each origin, kind and subject.
class fact_table
{
public:
    explicit fact_table(fact_table_settings settings);

    /// Stores a fact. Returns false if it is invalid, not newer than the stored one, or if the
    /// table is full and no stored fact expires earlier.
    bool accept(const fact &received, time_point now);
    /// Appends queued facts to `out` until the next one exceeds `bytes`, and subtracts their size
    /// from `bytes`. Each fact is sent at most `limit` times.
    void take(time_point now, std::uint32_t limit, std::size_t &bytes, std::vector<fact> &out);
    /// Queues every valid fact again, for members that were unreachable.
    void resendAll(time_point now);
    /// Removes facts that expired at least `expiredMemory` ago.
    void purge(time_point now);
    /// Facts that have not expired, with `validFor` set to the remaining time.
    std::vector<fact> valid(time_point now) const;
    /// Number of stored facts, including expired ones.
    std::size_t size() const { return m_entries.size(); }

private:
    struct fact_key
    {
        host_id origin;
        fact_kind kind = fact_kind::ServerLeaving;
        std::string subject;

        auto operator<=>(const fact_key &) const = default;
    };
    struct entry
    {
        fact content;
        time_point expires;
    };

    static fact withRemainingTime(const entry &known, time_point now);
    bool isAcceptable(const fact &received) const;
    bool makeRoom(time_point expires);

    fact_table_settings m_settings;
    std::map<fact_key, entry> m_entries;
    transmission_queue<fact_key> m_queue;
};

} // namespace waxwing
