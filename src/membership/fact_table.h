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
    /// Facts kept; when there are more, those that expire first are dropped.
    std::size_t maxFacts = 1000;
    /// Longest subject, in bytes; a fact has to fit into a datagram beside its sender.
    std::size_t maxSubjectBytes = 256;
    /// Longest validity.
    std::chrono::milliseconds maxValidity{3600000};
    /// Time for which an expired fact is remembered, so that a delayed copy does not revive it.
    std::chrono::milliseconds expiredMemory{30000};

    bool operator==(const fact_table_settings &) const = default;
};

/// Facts of all hosts, the latest of each origin, kind and subject.
class fact_table
{
public:
    explicit fact_table(fact_table_settings settings);

    /// Takes over a fact. Returns whether it is valid and newer than what was known.
    bool accept(const fact &received, time_point now);
    /// Appends facts that are still to be sent, as far as they fit into `bytes`, and reduces
    /// `bytes`. Each fact is sent at most `limit` times.
    void take(time_point now, std::uint32_t limit, std::size_t &bytes, std::vector<fact> &out);
    /// Queues every valid fact again, for members that were out of reach.
    void resendAll(time_point now);
    /// Forgets facts whose validity and memory have ended.
    void purge(time_point now);
    /// Valid facts with their remaining time.
    std::vector<fact> valid(time_point now) const;
    /// Facts kept, expired ones included.
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
