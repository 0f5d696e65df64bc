#include "relay_host/pass_profile.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace waxwing::relay {
namespace {

std::string milliseconds(duration time)
{
    return fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void pass_profile::add(std::string name, duration took)
{
    if (took < m_longestTime)
        return;
    m_longestTime = took;
    m_longestWork = std::move(name);
}

std::optional<log_entry> pass_profile::finish(duration passTime, std::uint64_t events)
{
    const std::string longestWork = std::exchange(m_longestWork, {});
    const duration longestTime = std::exchange(m_longestTime, duration(0));
    const std::uint64_t handled = events - std::exchange(m_eventsBefore, events);
    if (passTime < minLoggedPass)
        return std::nullopt;
    return log_entry{log_level::Warning,
                     "event loop was busy",
                     {{"busy_ms", milliseconds(passTime)},
                      {"events", fmt::to_string(handled)},
                      {"longest_work", longestWork},
                      {"longest_work_ms", milliseconds(longestTime)}}};
}

} // namespace waxwing::relay
