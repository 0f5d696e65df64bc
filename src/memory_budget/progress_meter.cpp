#include "memory_budget/progress_meter.h"

#include <cmath>

namespace waxwing {

void progress_meter::add(std::size_t bytes, time_point now)
{
    constexpr double seconds = std::chrono::duration<double>(timeConstant).count();
    m_rate = rate(now) + static_cast<double>(bytes) / seconds;
    m_at = now;
}

double progress_meter::rate(time_point now) const
{
    const std::chrono::duration<double> passed = now - m_at;
    return m_rate * std::exp(-passed / std::chrono::duration<double>(timeConstant));
}

} // namespace waxwing
