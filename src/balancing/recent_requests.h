#pragma once

#include "core/clock.h"

#include <chrono>
#include <cmath>

namespace waxwing {

/// Requests that a host sent to a server recently. The weight of each decays, so that the sum is
/// about the number of requests in a second.
class recent_requests
{
public:
    /// Time after which the weight of a request has decreased to 1/e.
    static constexpr std::chrono::milliseconds timeConstant{1000};

    /// Records a request that is sent now.
    void add(double weight, time_point now)
    {
        m_sum = value(now) + weight;
        m_at = now;
    }
    /// Raises the sum to `least`.
    void raise(double least, time_point now)
    {
        if (value(now) >= least)
            return;
        m_sum = least;
        m_at = now;
    }
    /// Sum of the weights.
    double value(time_point now) const
    {
        if (m_sum == 0)
            return 0;
        const std::chrono::duration<double> age = now - m_at;
        return m_sum * std::exp(-age / std::chrono::duration<double>(timeConstant));
    }

private:
    double m_sum = 0;
    time_point m_at{};
};

} // namespace waxwing
