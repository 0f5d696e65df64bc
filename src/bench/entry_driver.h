#pragma once

#include "entry/entry_reducer.h"

#include <cstdint>

namespace waxwing {

/// Size of the state that an `entry_driver` builds.
struct entry_driver_size
{
    /// Backend servers; one service has one shard for each of them, with two replicas.
    std::uint32_t servers = 146;
    /// Members, this host included.
    std::uint32_t members = 7;

    bool operator==(const entry_driver_size &) const = default;
};

/// Processor time and number of events of a measured stretch.
struct reducer_sample
{
    /// Events handled.
    std::uint64_t events = 0;
    /// Processor time in the reducer.
    std::chrono::nanoseconds time{0};
    /// Datagrams sent.
    std::uint64_t datagrams = 0;
    /// Bytes of these datagrams as encoded, without IP and UDP headers.
    std::uint64_t datagramBytes = 0;

    bool operator==(const reducer_sample &) const = default;
    /// Microseconds of processor time per event.
    double microsecondsPerEvent() const;
};

/// Drives one entry host reducer with the events of a healthy system and measures the time that
/// the reducer takes. Other hosts, servers and the platform answer at once, in virtual time.
class entry_driver
{
public:
    explicit entry_driver(const entry_driver_size &size);

    /// Runs searches one after the other; each fans out to every shard.
    reducer_sample runSearches(std::uint32_t count);
    /// Starts searches whose leaves never answer.
    void startSearches(std::uint32_t count);
    /// Lets time pass with no searches; every probe of this host is acknowledged, and as many
    /// probes arrive as in a fleet of this size.
    reducer_sample runIdle(std::chrono::seconds time);

private:
    void apply(event_body body, reducer_sample &measured);
    void answerPending(reducer_sample &measured);
    void answer(const effect &action, reducer_sample &measured);
    void tickUntil(time_point end, reducer_sample &measured);
    void joinMembers();
    void receiveProbe(std::uint32_t number, reducer_sample &measured);

    entry_driver_size m_size;
    configuration_copy m_configuration;
    entry_state m_state;
    time_point m_now;
    effect_list m_pending;
    bool m_leavesAnswer = true;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastProbe = 0;
};

} // namespace waxwing
