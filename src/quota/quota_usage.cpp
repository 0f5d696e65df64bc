#include "quota/quota_usage.h"

#include <algorithm>

namespace waxwing {

void quota_usage::expirePermits(time_point now)
{
    while (!permits.empty() && permits.front() <= now) {
        permits.pop_front();
        ++unused;
    }
}

bool quota_usage::takePermit(time_point now)
{
    expirePermits(now);
    if (permits.empty())
        return false;
    permits.pop_front();
    return true;
}

std::uint32_t quota_usage::lateCount(time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(waiting.begin(), waiting.end(),
                      [now](const waiting_request &each) { return each.lateAt <= now; }));
}

std::deque<quota_usage::waiting_request>::iterator quota_usage::nextInTurn(time_point now)
{
    const auto found =
        std::find_if(waiting.begin(), waiting.end(),
                     [now](const waiting_request &each) { return each.lateAt > now; });
    return found == waiting.end() ? waiting.begin() : found;
}

bool quota_usage::isToReport(time_point now, std::chrono::milliseconds askTimeout) const
{
    if (used > acknowledged || unused > returned)
        return true;
    return !waiting.empty() && (waiting.back().askedIn == 0 || now - askedAt >= askTimeout);
}

} // namespace waxwing
