#include "core/clock.h"

#include <ctime>

namespace waxwing {

time_point system_clock::now() const
{
    // Unlike the steady clock, this one counts the time for which the machine was suspended. Leases
    // and deadlines end in that time too.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

wall_time system_clock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace waxwing
