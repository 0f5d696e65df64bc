#include "relay_host/rejection_log.h"

#include <fmt/format.h>

namespace waxwing::relay {
namespace {

constexpr int unavailable = 503;
/// Time after which a caller may ask again. Room returns within about a second, when the requests
/// in progress are answered.
constexpr std::chrono::milliseconds retryTime{1000};

std::string descriptionOf(http::rejection_cause cause)
{
    switch (cause) {
    case http::rejection_cause::Unreadable:
        return "a request could not be read";
    case http::rejection_cause::Slow:
        return "a request did not arrive in its time";
    case http::rejection_cause::NoRoom:
        return "a request was ended to make room for others";
    case http::rejection_cause::Stranger:
        return "a request with a body came from an address that is not a host";
    case http::rejection_cause::Untaken:
        return "a connection was ended with an answer that was not taken";
    }
    return "a request was not passed on";
}

} // namespace

refusal noRoomRefusal()
{
    return {unavailable, "unavailable", "the host has no room for the request",
            execution_state::NotRun, retryTime};
}

rejection_log::rejection_log(const clock &time, logger &log, metrics_registry &metrics)
    : m_time(time), m_log(log), m_metrics(metrics)
{ }

void rejection_log::add(memory_use use, const http::rejection &reason)
{
    if (reason.cause == http::rejection_cause::Unreadable && use == memory_use::Callers)
        m_metrics.count("relay_unreadable_requests_total");
    m_metrics.count(fmt::format("relay_memory_refusals_total_{}_{}", toString(use),
                                http::toString(reason.cause)));
    logged_kind &kind = m_kinds[{use, reason.cause}];
    ++kind.count;
    const time_point now = m_time.now();
    // Callers that cannot be read are counted only: anyone can send such requests without end.
    if (now < kind.nextAt || reason.cause == http::rejection_cause::Unreadable)
        return;
    m_log.write({log_level::Warning,
                 descriptionOf(reason.cause),
                 {{"use", std::string(toString(use))},
                  {"sender", reason.sender.toString()},
                  {"held_bytes", fmt::to_string(reason.held)},
                  {"bytes_per_second", fmt::format("{:.0f}", reason.rate)},
                  {"since_last_line", fmt::to_string(kind.count)}}});
    kind = {now + logInterval, 0};
}

} // namespace waxwing::relay
