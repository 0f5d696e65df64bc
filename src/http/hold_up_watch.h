#pragma once

#include "core/clock.h"

#include <chrono>

namespace waxwing::http {

/// Knows from a regular beat of the loop for how long the loop was held up, so that what waited in
/// sockets meanwhile is not taken for new.
///
/// The load pattern that this answers: a weak host takes over a large document or answers many
/// hosts at once, and callers wait in its sockets for most of their time.
class hold_up_watch
{
public:
    /// Time between two beats.
    static constexpr std::chrono::milliseconds beatInterval{250};

    explicit hold_up_watch(time_point start) : m_lastBeat(start) { }

    /// The timer of the beat came.
    void onBeat(time_point now);
    /// How long ago bytes that are read now may have arrived, less up to one interval; 0 if the
    /// loop was not held up.
    duration delay(time_point now) const;

private:
    /// Lateness of a beat from which the loop counts as held up; more than a scheduling delay.
    static constexpr std::chrono::milliseconds leastHoldUp{50};
    /// Time after a late beat in which connections are read that became readable before it: the
    /// loop takes some tens of them in each pass.
    static constexpr std::chrono::milliseconds lateReads{20};

    bool isOverdue(time_point now) const { return now - m_lastBeat > beatInterval + leastHoldUp; }

    time_point m_lastBeat;
    /// Whether the last beat was late.
    bool m_wasLate = false;
    /// Since when there was no beat in time, if the last one was late.
    time_point m_since;
};

} // namespace waxwing::http
