#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace waxwing::relay {

/// Settings of `settled_number`.
struct settled_number_settings
{
    /// Time without a change after which the number has settled.
    std::chrono::milliseconds quietTime{1000};
    /// Time after the first change from which it is reported although it still changes.
    std::chrono::milliseconds longestWait{10000};

    bool operator==(const settled_number_settings &) const = default;
};

/// Decides when a number that changes often is reported.
///
/// Handles the start of a fleet. 75 hosts logged the number of hosts 580 times within 2.5 s.
class settled_number
{
public:
    /// `reported` is the number that counts as reported at first.
    settled_number(const settled_number_settings &settings, std::size_t reported)
        : m_settings(settings), m_reported(reported), m_current(reported)
    { }

    /// Records the number.
    void update(std::size_t current, time_point now);
    /// Returns the number if it is to be reported now: it differs from the one reported before, and
    /// has settled or changes for too long.
    std::optional<std::size_t> takeSettled(time_point now);
    /// When `takeSettled` is due; empty if the number has settled.
    std::optional<time_point> nextDeadline() const;

private:
    settled_number_settings m_settings;
    std::size_t m_reported;
    std::size_t m_current;
    /// First change since the number had settled; empty if it has.
    std::optional<time_point> m_firstChange;
    time_point m_lastChange{};
};

} // namespace waxwing::relay
