#pragma once

#include "core/clock.h"
#include "memory_budget/eviction.h"
#include "memory_budget/memory_hold.h"
#include "memory_budget/progress_meter.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace waxwing::http {

/// Where a server counts the bytes of its connections.
struct connection_memory
{
    /// Null to count nothing. It outlives the connections.
    memory_budget *budget = nullptr;
    /// Use of what peers send.
    memory_use received = memory_use::Callers;
    /// Use of what peers have not taken.
    memory_use unsent = memory_use::Answers;
};

/// Bytes that a server holds for one connection, and how fast they move.
class connection_account
{
public:
    /// Memory of a connection without a message, in bytes; see docs/CAPACITY.md.
    static constexpr std::size_t idleBytes = 2048;

    explicit connection_account(const connection_memory &memory);

    /// Counts a new connection. False if there is no room for it.
    bool open() { return m_received.hold(idleBytes); }
    /// Notes that bytes arrived.
    void onReceived(std::size_t bytes, time_point now) { m_arrivals.add(bytes, now); }
    /// Counts the messages that are held, in bytes. False if there is no room for them, also if the
    /// connection was chosen to make room.
    bool hold(std::size_t messages) { return m_received.hold(idleBytes + messages); }
    /// Counts fewer messages.
    void release(std::size_t messages) { m_received.setHeld(idleBytes + messages); }
    /// Counts the bytes that wait to be taken. False if there is no room for them.
    bool holdUnsent(std::size_t bytes, time_point now);
    /// Notes that the peer took bytes, after which `unsent` wait.
    void onSent(std::size_t bytes, std::size_t unsent, time_point now);

    /// Bytes of messages that are held.
    std::size_t held() const { return m_received.held() - std::min(m_received.held(), idleBytes); }
    /// Bytes that wait to be taken.
    std::size_t unsent() const { return m_unsent.held(); }
    /// When the peer last took bytes, or the first of them began to wait.
    time_point lastTaken() const { return m_lastTaken; }
    /// The connection as one that sends.
    eviction_candidate asSender(std::uint64_t number, time_point now) const;
    /// The connection as one that takes answers.
    eviction_candidate asReader(std::uint64_t number, time_point now) const;

private:
    memory_hold m_received;
    memory_hold m_unsent;
    progress_meter m_arrivals;
    progress_meter m_departures;
    time_point m_lastTaken{};
};

} // namespace waxwing::http
