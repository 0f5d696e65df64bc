#pragma once

#include "core/clock.h"

#include <cstddef>

namespace waxwing {

/// Recent rate at which bytes pass, with exponential decay.
class progress_meter
{
public:
    /// Time in which the weight of past bytes falls to 1/e.
    static constexpr std::chrono::seconds timeConstant{2};

    /// Notes bytes that passed.
    void add(std::size_t bytes, time_point now);
    /// Bytes a second.
    double rate(time_point now) const;

private:
    double m_rate = 0;
    time_point m_at{};
};

} // namespace waxwing
