#include "quarantine/crash_reports.h"

#include "core/hash.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace waxwing {

std::vector<member> crash_reports::collectorsOf(std::uint64_t fingerprint,
                                                const membership &members)
{
    std::vector<member> result = members.activeMembers();
    const std::size_t count = std::min(collectors, result.size());
    const auto middle = result.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(result.begin(), middle, result.end(),
                      [fingerprint](const member &left, const member &right) {
                          return std::tuple(stableHash(left.host.value, fingerprint), left.host)
                              < std::tuple(stableHash(right.host.value, fingerprint), right.host);
                      });
    result.resize(count);
    return result;
}

void crash_reports::send(reduce_context &context, const membership &members,
                         const std::vector<crash_report> &reports)
{
    // The collectors keep the report as their own count, so its validity is not used.
    constexpr std::chrono::milliseconds validity{1000};
    for (const crash_report &report : reports) {
        gossip_message message;
        // This acknowledgement belongs to no probe; the receiver only applies the sender and the
        // fact.
        message.kind = gossip_message::message_kind::Acknowledge;
        message.sender = members.self();
        message.facts = {{fact_kind::RequestCrash, fmt::format("{:016x}", report.fingerprint),
                          members.self().host, 0, report.start, validity}};
        for (const member &collector : collectorsOf(report.fingerprint, members)) {
            if (collector.host != members.self().host)
                context.emit(send_datagram{collector.gossip, message});
        }
    }
}

std::optional<crash_report> crash_reports::read(const fact &received)
{
    crash_report report{0, received.value};
    if (!absl::SimpleHexAtoi(received.subject, &report.fingerprint))
        return std::nullopt;
    return report;
}

} // namespace waxwing
