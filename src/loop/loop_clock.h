#pragma once

#include "core/clock.h"

#include <optional>

namespace waxwing {

/// Clock of an event loop. Knows for how long the loop has been handling callbacks, and therefore
/// for how long bytes may have waited in a socket before a callback reads them.
///
/// A pass of the loop waits for events and then runs their callbacks. The first reading of the
/// clock in a pass is taken for the end of the wait, so callbacks read the clock before they do any
/// work.
class loop_clock final : public clock
{
public:
    /// `time` must outlive this object.
    explicit loop_clock(const clock &time) : m_time(time) { }

    time_point now() const override;
    wall_time wallNow() const override { return m_time.wallNow(); }

    /// Begins a pass. Called before the loop looks for events.
    void beginPass();
    /// Time that the callbacks of the last pass took.
    duration lastPassTime() const { return m_lastPassTime; }
    /// Whether the loop looks for events in this pass without waiting for them. What it finds after
    /// a long pass has then arrived during that pass, and not at an unknown time after it.
    bool pollsOnly() const { return m_unreadSince.has_value(); }
    /// Upper limit of the time for which bytes that are read at `now` may have waited in their
    /// socket. 0 if no pass was begun.
    duration longestWait(time_point now) const;

private:
    const clock &m_time;
    bool m_hasPasses = false;
    /// First reading in this pass.
    mutable std::optional<time_point> m_awakeSince;
    /// Start of the last pass, if it was long.
    std::optional<time_point> m_unreadSince;
    duration m_lastPassTime{};
};

} // namespace waxwing
